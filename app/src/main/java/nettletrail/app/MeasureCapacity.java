package nettletrail.app;

import nettletrail.app.scale.Capacity;
import nettletrail.app.scale.Thin;

/** What a fleet of front doors costs at growing size, against the plan's budgets. */
final class MeasureCapacity implements Measure.Measurement {
    /** Seconds of virtual time at thin traffic; fewer at the full size, where the modules without the mechanism take long. */
    private static final int THIN_S = 45;
    private static final int FULL_THIN_S = 30;

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        Capacity capacity = new Capacity(Thin.modules(options.full() ? FULL_THIN_S : Math.max(1, options.part(THIN_S))), options.seed());
        Capacity.Outcome outcome = options.full() ? capacity.fullRun(options.sizes() == 0 ? Capacity.sizes() : options.sizes(), 2)
                : capacity.usualRun(options.seconds());
        return new Measure.Result(outcome.figures(), outcome.broken());
    }
}
