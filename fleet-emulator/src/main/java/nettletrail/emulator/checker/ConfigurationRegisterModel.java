package nettletrail.emulator.checker;

import java.util.Set;
import java.util.TreeSet;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;

/**
 * The configuration as a register with compare-and-set on the edition. A committed change is
 * acknowledged again and never rejected; a rejected one is never committed.
 */
public final class ConfigurationRegisterModel
    implements SequentialModel<ConfigurationRegisterModel.State, ConfigurationOperation> {

  /**
   * @param current the change that was committed last
   * @param committed ids of all committed changes
   * @param rejected ids of all rejected changes
   */
  public record State(ChangeRequest current, Set<Integer> committed, Set<Integer> rejected) {}

  @Override
  public State initial() {
    return new State(ChangeRequest.NONE, Set.of(ChangeRequest.NONE.id()), Set.of());
  }

  @Override
  public State apply(State state, ConfigurationOperation operation) {
    if (operation instanceof Write write) {
      return applyWrite(state, write);
    }
    if (operation instanceof Read read) {
      return read.change().equals(state.current()) ? state : null;
    }
    Use use = (Use) operation;
    return state.committed().contains(use.change().id()) ? state : null;
  }

  private static State applyWrite(State state, Write write) {
    ChangeRequest change = write.change();
    return switch (write.answer()) {
      case ACKNOWLEDGED -> state.committed().contains(change.id()) ? state : commit(state, change);
      case REJECTED -> reject(state, change);
      case INDETERMINATE -> commit(state, change);
    };
  }

  private static State commit(State state, ChangeRequest change) {
    boolean decided =
        state.committed().contains(change.id()) || state.rejected().contains(change.id());
    if (decided || change.basedOn() != state.current().edition()) {
      return null;
    }
    return new State(change, with(state.committed(), change), state.rejected());
  }

  private static State reject(State state, ChangeRequest change) {
    boolean committed = state.committed().contains(change.id());
    if (committed || change.basedOn() == state.current().edition()) {
      return null;
    }
    return new State(state.current(), state.committed(), with(state.rejected(), change));
  }

  private static Set<Integer> with(Set<Integer> ids, ChangeRequest change) {
    Set<Integer> more = new TreeSet<>(ids);
    more.add(change.id());
    return more;
  }
}
