package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import nettletrail.app.explore.Explorer;
import nettletrail.app.members.DetectorWorld.Bounds;
import nettletrail.app.members.DetectorWorld.Planted;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The failure detector of three doors, with each fault at each time within the world's bounds; planted defects are found. */
class DetectorExplorationTest {
    private static final int STATES = 2_500;

    static List<Bounds> bounds() {
        return Bounds.ALL;
    }

    @ParameterizedTest
    @MethodSource("bounds")
    void nobodyIsCalledGoneForALostDatagramAndAllEndInOneView(Bounds bounds) {
        Explorer.Result result = Explorer.explore(() -> new DetectorWorld(Planted.NONE, bounds), STATES, 20);
        assertNull(result.wrong(), () -> result.wrong() + " by " + result.path());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(Planted planted) {
        for (Bounds bounds : Bounds.ALL) {
            if (Explorer.explore(() -> new DetectorWorld(planted, bounds), STATES, 20).wrong() != null) {
                return;
            }
        }
        fail(planted + " is not found");
    }
}
