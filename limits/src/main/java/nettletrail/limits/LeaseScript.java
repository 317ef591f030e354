package nettletrail.limits;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Row;
import nettletrail.limits.LimitsDecider.Terms;
import nettletrail.limits.LimitsDecider.Told;

/**
 * A call as the counter's script takes it ({@code lease.lua}, which tells what each argument is). The customers' keys and
 * the epoch's carry one hash tag, so that a server which spreads keys over nodes has both on one.
 */
public final class LeaseScript {
    /** The script's text. */
    public static final String TEXT = text();
    private static final int FIELDS = 7;
    private static final int COMMON = 8;
    private static final int ROW = 10;
    private static final String FOREIGN = "the counter's answer is none of this script's: is its key used by others?";
    private static final long MS = 1_000_000L;

    private LeaseScript() { }

    private static String text() {
        try (InputStream in = LeaseScript.class.getResourceAsStream("lease.lua")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The keys that a call uses, under a prefix that is this installation's own. */
    public static List<String> keys(String prefix, List<Row> rows) {
        List<String> keys = new ArrayList<>(rows.size() + 1);
        keys.add("{" + prefix + "}:epoch");
        for (Row row : rows) {
            keys.add("{" + prefix + "}:c:" + Long.toHexString(row.customer()));
        }
        return keys;
    }

    /** @param newEpoch a name that no epoch had before */
    public static List<String> arguments(Terms terms, Call call, String newEpoch) {
        List<String> arguments = new ArrayList<>(COMMON + ROW * call.rows().size());
        arguments.addAll(List.of(terms.door(), call.epoch(), newEpoch, Long.toString(terms.leaseNs() / MS),
                Long.toString(terms.lossNs() / MS), Integer.toString((int) (terms.floor() * LimitsDecider.ALL)),
                Integer.toString(terms.fleet()), Long.toString(call.untilMs())));
        for (Row row : call.rows()) {
            arguments.addAll(List.of(Long.toString(row.number()), Long.toString(row.answered()),
                    Long.toString(row.spent()), Long.toString(row.want()), Long.toString(row.demand()),
                    Integer.toString(row.set()), Long.toString(row.rate()), Long.toString(row.burst()),
                    Integer.toString(row.share()), row.release() ? "1" : "0"));
        }
        return arguments;
    }

    /**
     * Reads an answer: one entry for each row, and one if there was none.
     *
     * @throws IllegalArgumentException if it is none of this script's
     */
    public static List<Told> told(Object answer, int rows) {
        if (!(answer instanceof List<?> list) || list.size() != Math.max(1, rows)) {
            throw new IllegalArgumentException(FOREIGN);
        }
        List<Told> told = new ArrayList<>(list.size());
        for (Object each : list) {
            told.add(row(each));
        }
        return told;
    }

    private static Told row(Object answer) {
        if (!(answer instanceof List<?> list) || list.size() != FIELDS || !(list.get(0) instanceof String epoch)) {
            throw new IllegalArgumentException(FOREIGN);
        }
        long[] numbers = new long[FIELDS];
        for (int i = 1; i < FIELDS; i++) {
            if (!(list.get(i) instanceof Long number)) {
                throw new IllegalArgumentException("the counter's answer has no number in place " + (i + 1));
            }
            numbers[i] = number;
        }
        int share = (int) Math.max(0, Math.min(LimitsDecider.ALL, numbers[4]));
        return new Told(epoch, numbers[1], Math.max(0, numbers[2]), Math.max(0, numbers[3]), share, numbers[5] == 1,
                numbers[5] == 2, numbers[6]);
    }
}
