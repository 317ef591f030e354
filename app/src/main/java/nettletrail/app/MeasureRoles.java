package nettletrail.app;

import nettletrail.app.scale.roles.Budgets;
import nettletrail.app.scale.roles.Roles;

/** What members, counter, customers and configuration cost at a size of the fleet; the sizes that fit the time given. */
final class MeasureRoles implements Measure.Measurement {
    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        Roles.Told told = new Roles(options.seconds(), options.seed(), Budgets.PLAN).run();
        return new Measure.Result(told.figures(), told.broken());
    }
}
