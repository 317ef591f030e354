package nettletrail.app.scale.roles;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the roles' measure counts with, by examples whose outcome is known. */
class RolesTest {
    @Test
    void whatIsOverItsBudgetIsNamedWithBothFiguresAndWhatIsNotIsNot() {
        Budgets.Check check = new Budgets.Check();
        check.atMost("a door at 480", 3_000, 3_000, "bytes/s");
        assertEquals(List.of(), check.broken());
        check.atMost("a door at 480", 3_001, 3_000, "bytes/s");
        check.atMost("a figure that is none", Double.NaN, 1, "s");
        assertEquals(List.of("a door at 480: 3001 bytes/s, budget 3000", "a figure that is none: NaN s, budget 1.000"),
                check.broken());
    }

    @Test
    void customersSeenFollowTheirRates() {
        assertEquals(1, LimitsRole.seen(1, 62.5, 30, 1), 1e-9);
        // 1,000 alike and one request for each on the mean: all but 1/e of them.
        assertEquals(1_000 * (1 - Math.exp(-1)), LimitsRole.seen(1_000, 1_000, 1, 0), 1e-6);
    }

    @Test
    void aDoorHoldsTheCustomersThatTheFormulaTells() {
        Map<String, Object> told = new LimitsRole(1).fleet(1, 480, 1_000, LimitsRole.DOOR_PER_S, 1, 35, 5);
        double formula = LimitsRole.seen(1_000, LimitsRole.DOOR_PER_S, LimitsRole.IDLE_S, 1);
        assertEquals(formula, ((Number) told.get("accounts_a_door")).doubleValue(), 0.1 * formula);
        // Each lease is renewed when half its time is over: once a second for each customer held.
        assertEquals(1, ((Number) told.get("rows_per_s_an_account")).doubleValue(), 0.25);
    }

    @Test
    void aRowCostsTheCounterMoreTheMoreDoorsHoldItsCustomer() {
        LimitsRole role = new LimitsRole(1);
        role.rowUs(30, 0.5);
        assertTrue(role.rowUs(120, 0.5) > 3 * role.rowUs(3, 0.5));
    }

    @Test
    void aBudgetThatIsPlantedTooSmallIsNamedAndOnesThatAreWideAreNot() throws Exception {
        List<String> broken = new Roles(1, 1, new Budgets(1e9, 1e-6, 1e9, 1e9, 1e9)).run().broken();
        assertTrue(broken.stream().anyMatch(each -> each.startsWith("front door, customers remembered")), broken.toString());
        assertTrue(broken.stream().anyMatch(each -> each.startsWith("members, state of a door")), broken.toString());
        assertTrue(broken.stream().allMatch(each -> each.contains(" MB, ")), broken.toString());
    }
}
