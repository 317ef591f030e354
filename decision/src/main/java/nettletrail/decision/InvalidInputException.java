package nettletrail.decision;

/** Input that is not as the wire's page has it; the message names what and where. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
