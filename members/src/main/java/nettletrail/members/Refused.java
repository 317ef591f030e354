package nettletrail.members;

/** What came can't be taken. */
final class Refused extends Exception {
    private static final long serialVersionUID = 1L;
    private final Dropped why;

    Refused(Dropped why) {
        super(why.name(), null, false, false); // thousands a second of them cost no stack traces
        this.why = why;
    }

    Dropped why() {
        return why;
    }
}
