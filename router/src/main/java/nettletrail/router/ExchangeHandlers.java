package nettletrail.router;

/**
 * The parts of the router that an exchange reports its events to; shared by all exchanges.
 *
 * @param sender starts attempts
 * @param retrier decides on failed attempts
 * @param responses relays responses
 * @param completion ends exchanges
 */
record ExchangeHandlers(
    AttemptSender sender,
    Retrier retrier,
    ResponseHandler responses,
    ExchangeCompletion completion) {}
