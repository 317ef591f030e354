package nettletrail.app;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.Frontend;
import nettletrail.core.SettingsSection;

/** {@code [control]}: where operators ask a running front door. */
final class ControlSubsystem implements Subsystem {
    private final SettingsSection section = new SettingsSection("control",
            "Where operators ask a running front door (HTTP, loopback only).")
            .address("listen", "", "where it answers; \"\" for nowhere");

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        InetSocketAddress listen = Endpoint.parseAddress(values.text("listen"));
        if (listen != null && !listen.getAddress().isLoopbackAddress()) {
            faults.accept(new SettingsSection.Fault("listen",
                    "must be an address of loopback: whoever reaches it may give orders"));
        }
    }

    @Override
    public Optional<Frontend.Factory> front(SettingsSection.Values values, Desk desk) {
        InetSocketAddress listen = Endpoint.parseAddress(values.text("listen"));
        return listen == null ? Optional.empty()
                : Optional.of((group, reader, settings) -> new ControlFront(group, listen, desk));
    }
}
