package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import nettletrail.app.explore.Explorer;
import nettletrail.app.members.ViewWorld.Bounds;
import nettletrail.app.members.ViewWorld.Planted;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The agreement on views, in all orders within the world's bounds as far as the state count goes; planted defects are found. */
class ViewExplorationTest {
    private static final int STATES = 12_000;

    static List<Bounds> bounds() {
        return Bounds.ALL;
    }

    @ParameterizedTest
    @MethodSource("bounds")
    void aViewHasOneSuccessorAndNobodyIsGoneOnBothSides(Bounds bounds) {
        Explorer.Result result = Explorer.explore(() -> new ViewWorld(Planted.NONE, bounds), STATES, 10);
        assertNull(result.wrong(), () -> result.wrong() + " by " + result.path());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(Planted planted) {
        for (Bounds bounds : Bounds.ALL) {
            if (planted == Planted.REBORN_ANSWERS && bounds.crashes() < 0) {
                continue; // nobody starts again
            }
            if (Explorer.explore(() -> new ViewWorld(planted, bounds), 2 * STATES, Integer.MAX_VALUE).wrong() != null) {
                return;
            }
        }
        fail(planted + " is not found");
    }
}
