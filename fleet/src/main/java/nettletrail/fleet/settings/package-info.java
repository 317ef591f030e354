/**
 * The settings that the platform gives a process, as lines of {@code key=value}.
 *
 * <p>{@link nettletrail.fleet.settings.SettingsReader} is the entry class: it reads a file, checks
 * all of it and returns an immutable {@link nettletrail.fleet.settings.FleetSettings}, or throws
 * one error that lists every fault. {@link nettletrail.fleet.settings.SettingsWatcher} reads the
 * file again while the process runs. The keys, their units and defaults are described in {@code
 * docs/operate/fleet.md}.
 *
 * <p>This package must not decide what a process does with a setting, and must not resolve host
 * names. Everything but the watcher is free of state and may be used on any thread; the watcher
 * works on the executor that it is given.
 */
package nettletrail.fleet.settings;
