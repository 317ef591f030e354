/**
 * The operators' command line: it reads, writes and compares the fleet's configuration, shows the
 * state of the cores, and checks files before they are used.
 *
 * <p>{@link nettletrail.fleet.cli.OperatorClient} is the entry class: it parses the arguments and
 * runs one {@link nettletrail.fleet.cli.OperatorCommand}. A command calls the cores by {@link
 * nettletrail.fleet.cli.CoreClient} and writes a {@code CommandResult} to the {@link
 * nettletrail.fleet.cli.Console}; a failure is a {@link nettletrail.fleet.cli.CommandException},
 * which has an exit code. Everything blocks and runs on the calling thread.
 *
 * <p>The daemons must not load classes of this package; only {@code Main} refers to it. Options,
 * JSON keys and exit codes are a public interface and must not change.
 */
package nettletrail.fleet.cli;
