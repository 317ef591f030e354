package nettletrail.app.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import nettletrail.emulator.capacity.Fit;
import org.junit.jupiter.api.Test;

/** The arithmetic of the sweep, and the names of broken budgets. */
class PredictionTest {
    private static Map<String, Object> run(int backends, double intercept, double slope) {
        Map<String, Object> run = new LinkedHashMap<>();
        run.put("backends", backends);
        Prediction.OF.forEach(each -> run.put(each, intercept + slope * backends));
        return run;
    }

    @Test
    void aLineThroughPointsOnALineIsThatLine() {
        Fit line = Fit.of(new double[] {1, 2, 4}, new double[] {5, 7, 11});
        assertEquals(2, line.slope(), 1e-12);
        assertEquals(3, line.intercept(), 1e-12);
        assertEquals(0, line.residual(), 1e-12);
        assertEquals(203, line.at(100), 1e-9);
    }

    @Test
    void leastSquaresOfScatteredPoints() {
        Fit line = Fit.of(new double[] {0, 0, 2, 2}, new double[] {1, 3, 4, 8});
        assertEquals(2, line.slope(), 1e-12);
        assertEquals(2, line.intercept(), 1e-12);
        assertEquals(Math.sqrt((1 + 1 + 4 + 4) / 4.0), line.residual(), 1e-12);
        assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {1, 1}, new double[] {1, 2}));
    }

    @Test
    void errorsAreInPercentOfWhatWasMeasured() {
        assertEquals(10, Fit.errorPct(110, 100), 1e-9);
        assertEquals(-50, Fit.errorPct(1, 2), 1e-9);
        assertEquals(0, Fit.errorPct(0, 0), 1e-9);
    }

    @Test
    void percentilesAreByNearestRank() {
        Spread spread = Spread.of(IntStream.rangeClosed(1, 200).boxed().toList());
        assertEquals(new Spread(100, 198, 200, 100.5), spread);
        assertEquals(new Spread(2, 3, 3, 2), Spread.of(List.of(3, 1, 2)));
        assertEquals(new Spread(0, 0, 0, 0), Spread.of(List.of()));
    }

    @Test
    void predictsTheLargestSizeAndTellsTheError() {
        List<Map<String, Object>> runs = new ArrayList<>(List.of(run(100, 1, 0.01), run(200, 1, 0.01), run(400, 1, 0.01)));
        Map<String, Object> predicted = Prediction.of(runs, List.of(run(1_000, 1, 0.02), run(1_000, 3, 0.02)));
        Map<?, ?> one = (Map<?, ?>) predicted.get("control_mb");
        assertEquals(10.0, one.get("slope_per_1000_backends"));
        assertEquals(1.0, one.get("intercept"));
        assertEquals(11.0, one.get("predicted"));
        assertEquals(22.0, one.get("measured"));
        assertEquals(23.0, one.get("measured_max_over_seeds"));
        assertEquals(-50.0, one.get("error_pct"));
        assertEquals(50.0, Prediction.worstPct(predicted));
    }

    @Test
    void imbalanceIsThatOfTheWorstZone() {
        long[] sends = new long[10];
        for (int i = 0; i < sends.length; i++) {
            sends[i] = FleetPlan.zone(i) == 3 ? 20 : 5;
        }
        assertEquals(1, Steady.worst(sends), 1e-12, "zones may differ");
        sends[4] = 15;
        assertEquals(1.5, Steady.worst(sends), 1e-12);
    }

    private static Map<String, Object> sound() {
        Map<String, Object> figures = new LinkedHashMap<>();
        Budgets.MOST.forEach(figures::put);
        return figures;
    }

    @Test
    void eachBrokenBudgetIsNamed() {
        assertEquals(List.of(), Budgets.broken(sound()), "at the budget it holds");
        for (String name : Budgets.MOST.keySet()) {
            Map<String, Object> planted = sound();
            planted.put(name, Budgets.MOST.get(name) + 0.1);
            assertEquals(List.of(name + " is " + planted.get(name) + ", over " + Budgets.MOST.get(name)),
                    Budgets.broken(planted));
            planted.put(name, Double.NaN);
            assertEquals(1, Budgets.broken(planted).size(), "what is no number holds no budget");
            planted.remove(name);
            assertEquals(List.of(name + " was not measured"), Budgets.broken(planted));
        }
    }

    @Test
    void theFullSweepIsThePlans() {
        Capacity.Sweep full = Capacity.full();
        assertEquals("480/7500", full.last().toString());
        assertTrue(full.small().size() >= 4 && full.seeds() >= 2);
        assertEquals(7_500, new FleetPlan(480, 7_500, 1, 80).entries().stream().map(each -> each.address()).distinct().count());
        assertEquals(7_500, new FleetPlan(480, 7_500, 1, 80).entries().stream().map(each -> each.name()).distinct().count());
    }
}
