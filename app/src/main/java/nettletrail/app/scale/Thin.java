package nettletrail.app.scale;

/** What thin traffic does, by another rig than the fleet's: real modules in virtual time, from few backends to all. */
public interface Thin {
    /**
     * Its figures.
     *
     * @param cpuUsSmall CPU of the module a request, us, at the fewest backends
     * @param cpuUsFull the same at the most
     * @param refused share of requests refused, 0 to 1
     * @param imbalance most over mean of sends, the worst of the zones
     * @param source what they came from, for people
     */
    record Figures(double cpuUsSmall, double cpuUsFull, double refused, double imbalance, String source) { }

    /**
     * Runs it, on the calling thread.
     *
     * @param backends the most of them
     * @param on whether the mechanism is on
     */
    Figures run(int backends, long seed, boolean on);
}
