package nettletrail.app.scale.roles;

import nettletrail.app.members.MembersFleet;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.members.Agree;
import nettletrail.members.Codec;
import nettletrail.members.Message.Datagram;

/** Bytes as they would be sent: encoded, sealed, with the headers of IPv4 and UDP or TCP. By door, second and kind. */
final class MembersTraffic implements MembersFleet.Traffic {
    private static final int IP_UDP = 28;
    /** A call's frame, its length and the headers of its packets, of which each carries so much. */
    private static final int TCP_FRAME = 4 + 12;
    private static final int IP_TCP = 52;
    private static final int SEGMENT = 1_448;

    /** Bytes of each door since {@link #clear}. */
    final double[] byDoor;
    /** Bytes of all in each second since then. */
    final double[] bySecond;
    long datagrams;
    double datagramBytes;
    double syncBytes;
    double agreeBytes;
    long syncs;
    long agrees;
    /** ns of processor time spent on counting, of which encoding is the most. */
    long countingNs;
    private final MembersFleet fleet;
    private long from;

    MembersTraffic(MembersFleet fleet, int seconds) {
        this.fleet = fleet;
        byDoor = new double[fleet.doors()];
        bySecond = new double[seconds + 1];
        from = fleet.now();
    }

    private double add(int door, double bytes) {
        byDoor[door] += bytes;
        bySecond[(int) Math.min(bySecond.length - 1, (fleet.now() - from) / 1_000_000_000L)] += bytes;
        return bytes;
    }

    private static double framed(int bytes) {
        int sealed = bytes + Codec.SEAL_BYTES + TCP_FRAME;
        return sealed + (double) IP_TCP * (sealed / SEGMENT + 1);
    }

    double bytes() {
        return datagramBytes + syncBytes + agreeBytes;
    }

    @Override
    public void datagram(int door, Datagram datagram, long view) {
        long at = Gauge.cpuNs();
        datagrams++;
        datagramBytes += add(door, IP_UDP + Codec.SEAL_BYTES + Codec.bytes(datagram, view).length);
        countingNs += Gauge.cpuNs() - at;
    }

    @Override
    public void sync(int door, Codec.Known known) {
        long at = Gauge.cpuNs();
        syncs++;
        syncBytes += add(door, framed(Codec.bytes(known).length));
        countingNs += Gauge.cpuNs() - at;
    }

    @Override
    public void agree(int door, Agree said) {
        long at = Gauge.cpuNs();
        agrees++;
        agreeBytes += add(door, framed(Codec.bytes(said).length));
        countingNs += Gauge.cpuNs() - at;
    }
}
