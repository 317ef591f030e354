package nettletrail.app;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.Front;
import nettletrail.core.Section;

/** {@code [control]}: where operators ask a running front door. */
final class ControlSubsystem implements Subsystem {
    private final Section section = new Section("control", "Where operators ask a running front door (HTTP, loopback only).")
            .address("listen", "", "where it answers; \"\" for nowhere");

    @Override
    public Section section() {
        return section;
    }

    @Override
    public void check(Section.Values values, Consumer<Section.Fault> faults) {
        InetSocketAddress listen = Endpoint.address(values.text("listen"));
        if (listen != null && !listen.getAddress().isLoopbackAddress()) {
            faults.accept(new Section.Fault("listen", "must be an address of loopback: whoever reaches it may give orders"));
        }
    }

    @Override
    public Optional<Front.Maker> front(Section.Values values, Desk desk) {
        InetSocketAddress listen = Endpoint.address(values.text("listen"));
        return listen == null ? Optional.empty()
                : Optional.of((group, reader, settings) -> new ControlFront(group, listen, desk));
    }
}
