package nettletrail.emulator.capacity;

import java.util.List;
import nettletrail.emulator.simulation.VirtualTime;

/** What all processes of a fleet in memory share. */
record FleetParts(
    VirtualTime time,
    MeasuredNetwork network,
    CompiledConfigurations configurations,
    ControlDemand demand,
    RequestCounts counts,
    List<String> seeds) {}
