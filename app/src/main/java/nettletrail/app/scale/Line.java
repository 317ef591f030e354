package nettletrail.app.scale;

import java.util.List;

/**
 * A straight line through points by least squares.
 *
 * @param residual root of the mean squared distance of the points from it
 */
record Line(double slope, double intercept, double residual) {
    /** A point. */
    record Point(double x, double y) { }

    /**
     * Through these points.
     *
     * @throws IllegalArgumentException if they lie at fewer than two places
     */
    static Line through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double xx = points.stream().mapToDouble(each -> (each.x() - meanX) * (each.x() - meanX)).sum();
        if (xx == 0) {
            throw new IllegalArgumentException("a line needs points at two places at least");
        }
        double xy = points.stream().mapToDouble(each -> (each.x() - meanX) * (each.y() - meanY)).sum();
        double slope = xy / xx;
        double intercept = meanY - slope * meanX;
        double residual = Math.sqrt(points.stream().mapToDouble(each -> {
            double off = each.y() - intercept - slope * each.x();
            return off * off;
        }).average().orElse(0));
        return new Line(slope, intercept, residual);
    }

    double at(double x) {
        return intercept + slope * x;
    }

    /** How far a prediction is off what was measured, in percent of that; 0 for two zeros. */
    static double errorPct(double predicted, double measured) {
        return predicted == measured ? 0 : 100 * (predicted - measured) / Math.max(Math.abs(measured), 1e-9);
    }
}
