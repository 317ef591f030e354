package nettletrail.control.host;

import nettletrail.control.door.DoorAction.ConfigurationChanged;

/** What a door's control plane changes in the data plane. */
public interface DoorDataPlane {
  /**
   * Makes a configuration the active one, with the limits of its tenants. One that can't be used
   * leaves the active one in place.
   */
  void activate(ConfigurationChanged changed);

  /** The backends of a service have changed, in membership or in content. */
  void backendsChanged(String service);
}
