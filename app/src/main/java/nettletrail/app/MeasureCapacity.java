package nettletrail.app;

import nettletrail.app.scale.Capacity;

/** What a fleet of front doors costs at growing size, against the plan's budgets. */
final class MeasureCapacity implements Measure.Measurement {
    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        Capacity capacity = new Capacity(null, options.seed());
        Capacity.Outcome outcome = options.full() ? capacity.fullRun(options.sizes() == 0 ? Capacity.sizes() : options.sizes(), 2)
                : capacity.usualRun(options.seconds());
        return new Measure.Result(outcome.figures(), outcome.broken());
    }
}
