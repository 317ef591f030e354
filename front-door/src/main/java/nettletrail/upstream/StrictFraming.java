package nettletrail.upstream;

/** What Netty's decoders would let pass and both of ours refuse: the end of one message must be beyond doubt (RFC 9112, 6.3). */
public final class StrictFraming {
    private StrictFraming() { }

    /** A head that is refused; the message is ours and holds nothing of what was sent. */
    public static final class HeadFormatException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        private HeadFormatException(String why) {
            super(why);
        }
    }

    /** Two lengths may hide a second message in the body of the first: Netty would drop one of them and go on. */
    public static HeadFormatException conflictingLengths() {
        return new HeadFormatException("both Content-Length and Transfer-Encoding: a body has one of them");
    }

    /** A folded line, or white space before the first one: another reader may take it for a header of its own. */
    public static HeadFormatException foldedLine() {
        return new HeadFormatException("a line of the head begins with white space: each header must stand on a line of its own");
    }

    /**
     * A line without a colon would pass as a header with no value.
     *
     * @param end of the header's name in the line
     */
    public static void requireColon(byte[] line, int end) {
        if (end >= line.length || line[end] != ':') {
            throw new HeadFormatException("a header without a colon");
        }
    }
}
