package nettletrail.core;

/**
 * Reads headers of the form {@code units=2,spread=3} and the numbers in them. Only digits with at most one point
 * are a number: the standard library's parsers also take "NaN", "1e3", "0x1p3" and "5d".
 */
final class HeaderPairs {
    /** More digits than any sane value has. */
    private static final int MAX_DIGITS = 12;

    private HeaderPairs() { }

    /** The text under this name, or null; the first, if it is there twice. */
    static String value(String text, String name) {
        int start = valueStart(text, name, 0);
        if (start < 0) {
            return null;
        }
        int comma = text.indexOf(',', start);
        return text.substring(start, comma < 0 ? text.length() : comma);
    }

    /** Whether the name is there more than once, so that two readers could take two values. */
    static boolean isDuplicated(String text, String name) {
        int start = valueStart(text, name, 0);
        return start >= 0 && valueStart(text, name, start) >= 0;
    }

    /** Where the value under this name starts, looked for from a pair's start or within a value on; -1 if it isn't there. */
    private static int valueStart(String text, String name, int from) {
        int at = from;
        while (at < text.length()) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 ? text.length() : comma;
            while (at < end && text.charAt(at) == ' ') {
                at++;
            }
            int equals = at + name.length();
            if (equals < end && text.charAt(equals) == '=' && text.startsWith(name, at)) {
                return equals + 1;
            }
            at = end + 1;
        }
        return -1;
    }

    /** The number under this name; NaN if it is not there or is no number. */
    static double number(String text, String name) {
        return number(value(text, name));
    }

    /** The number that the text is, 0 or more; NaN if it is absent or is none. */
    static double number(String text) {
        if (text == null || text.length() > MAX_DIGITS) {
            return Double.NaN;
        }
        // Exact: both the digits and the power of ten are below 2^53, and a division rounds once, as a parser does.
        long digits = 0;
        long scale = 0;
        for (int i = 0; i < text.length(); i++) {
            char each = text.charAt(i);
            if (each == '.' && scale == 0) {
                scale = 1;
            } else if (each >= '0' && each <= '9') {
                digits = digits * 10 + each - '0';
                scale *= 10;
            } else {
                return Double.NaN;
            }
        }
        boolean none = text.isEmpty() || text.length() == 1 && scale > 0;
        return none ? Double.NaN : scale > 1 ? (double) digits / scale : digits;
    }

    /** The whole number that the text is, 0 or more; -1 if it is absent or is none. */
    static long wholeNumber(String text) {
        double number = number(text);
        return Double.isNaN(number) || text.indexOf('.') >= 0 ? -1 : (long) number;
    }
}
