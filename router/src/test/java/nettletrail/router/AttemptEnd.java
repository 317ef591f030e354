package nettletrail.router;

import java.io.IOException;

/** The ways in which an attempt can end at a backend, and what each of them proves. */
enum AttemptEnd {
  // No byte of the request was sent.
  RESET_BEFORE_THE_FIRST_BYTE(Outcome.NOT_RUN, Moment.BEFORE_WRITE, c -> c.reset()),

  // The backend states that it has not run the request.
  EARLY_NOT_RUN_503(Outcome.NOT_RUN, Moment.EARLY, c -> c.write(notRun("503 Service Unavailable"))),
  EARLY_NOT_RUN_429(Outcome.NOT_RUN, Moment.EARLY, c -> c.write(notRun("429 Too Many Requests"))),
  EARLY_NOT_RUN_400(Outcome.NOT_RUN, Moment.EARLY, c -> c.write(notRun("400 Bad Request"))),
  EARLY_421(Outcome.NOT_RUN, Moment.EARLY, c -> c.write(complete("421 Misdirected Request", ""))),
  NOT_RUN_503(Outcome.NOT_RUN, Moment.READ, c -> c.write(notRun("503 Service Unavailable"))),
  MISDIRECTED(Outcome.NOT_RUN, Moment.READ, c -> c.write(complete("421 Misdirected Request", ""))),

  // The connection closes without a response.
  RESET_AFTER_THE_HEAD(Outcome.MAY_HAVE_RUN, Moment.EARLY, c -> c.reset()),
  RESET_INSIDE_THE_BODY(Outcome.MAY_HAVE_RUN, Moment.BODY_PARTLY_READ, c -> c.reset()),
  END_INSIDE_THE_BODY(Outcome.MAY_HAVE_RUN, Moment.BODY_PARTLY_READ, c -> c.finish()),
  RESET_AFTER_THE_COMPLETE_REQUEST(Outcome.MAY_HAVE_RUN, Moment.READ, c -> c.reset()),
  END_AFTER_THE_COMPLETE_REQUEST(Outcome.MAY_HAVE_RUN, Moment.READ, c -> c.finish()),

  // The backend responds, before or after it has read the body.
  EARLY_200(
      Outcome.RESPONDED_200, Moment.EARLY, c -> c.write(sealed("200 OK", AttemptEnd.OWN_BODY))),
  EARLY_500(
      Outcome.RESPONDED_500, Moment.EARLY, c -> c.write(sealed("500 Failed", AttemptEnd.OWN_BODY))),
  EARLY_200_AFTER_100(
      Outcome.RESPONDED_200,
      Moment.BODY_PARTLY_READ,
      c -> c.write("HTTP/1.1 100 Continue\r\n\r\n" + sealed("200 OK", AttemptEnd.OWN_BODY))),
  COMPLETE_200(
      Outcome.RESPONDED_200, Moment.READ, c -> c.write(sealed("200 OK", AttemptEnd.OWN_BODY))),
  COMPLETE_500(
      Outcome.RESPONDED_500, Moment.READ, c -> c.write(sealed("500 Failed", AttemptEnd.OWN_BODY))),
  COMPLETE_500_AND_MORE_BYTES(
      Outcome.RESPONDED_500,
      Moment.READ,
      c -> c.write(sealed("500 Failed", AttemptEnd.OWN_BODY) + sealed("200 OK", "surplus"))),
  NO_LENGTH_AND_END(
      Outcome.RESPONDED_200,
      Moment.READ,
      c -> {
        c.write(head("200 OK", "") + AttemptEnd.OWN_BODY);
        c.finish();
      }),
  EARLY_NO_LENGTH_AND_END(
      Outcome.RESPONDED_200,
      Moment.BODY_PARTLY_READ,
      c -> {
        c.write(head("200 OK", "") + AttemptEnd.OWN_BODY);
        c.finish();
      }),

  // The response is incomplete, invalid or for another request.
  NO_LENGTH_AND_RESET(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> {
        c.write(head("200 OK", "") + "ow");
        c.reset();
      }),
  LENGTH_TRUNCATED_BY_RESET(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> {
        c.write(head("200 OK", "Content-Length: 3\r\n") + "ow");
        c.reset();
      }),
  LENGTH_TRUNCATED_BY_END(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> {
        c.write(head("200 OK", "Content-Length: 3\r\n") + "ow");
        c.finish();
      }),
  CHUNKS_TRUNCATED_BY_END(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> {
        c.write(head("200 OK", "Transfer-Encoding: chunked\r\n") + "3\r\nown\r\n");
        c.finish();
      }),
  BAD_CHUNK_SIZE(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> c.write(head("200 OK", "Transfer-Encoding: chunked\r\n") + "xyz\r\nown\r\n")),
  CODING_IN_ADDITION_TO_CHUNKED(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> c.write(head("200 OK", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n")),
  CHUNKS_OF_HTTP_1_0(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c ->
          c.write(
              head("200 OK", "Transfer-Encoding: chunked\r\n").replace("HTTP/1.1", "HTTP/1.0")
                  + "0\r\n\r\n")),
  TWO_FRAMINGS(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c ->
          c.write(
              head("200 OK", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n")),
  INVALID_BYTES(Outcome.MAY_HAVE_RUN, Moment.READ, c -> c.write("\u0001\u0002 nothing\r\n\r\n")),
  SWITCHED_PROTOCOL(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> c.write("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")),
  EARLY_RESPONSE_WITH_ANOTHER_ID(
      Outcome.MAY_HAVE_RUN,
      Moment.EARLY,
      c ->
          c.write(
              sealed("200 OK", AttemptEnd.OWN_BODY)
                  .replace("X-Attempt-Id: ", "X-Attempt-Id: other-"))),
  NOT_RUN_WITH_ANOTHER_ID(
      Outcome.MAY_HAVE_RUN,
      Moment.READ,
      c -> c.write(notRun("503 Unavailable").replace("X-Attempt-Id: ", "X-Attempt-Id: other-"))),
  SUCCESS_WITHOUT_SEAL(
      Outcome.MAY_HAVE_RUN, Moment.READ, c -> c.write(complete("200 OK", AttemptEnd.OWN_BODY))),
  UNSEALED_503(Outcome.MAY_HAVE_RUN, Moment.READ, c -> c.write(complete("503 Unavailable", ""))),
  EARLY_UNSEALED_429(Outcome.MAY_HAVE_RUN, Moment.EARLY, c -> c.write(complete("429 Many", "")));

  /** A complete event, so that it is a complete body on every kind of route. */
  static final String OWN_BODY = "id: 1\ndata: own\n\n";

  /** The attempt id of each request that the table sends. */
  static final String ID = "id-1";

  /** What the end of the attempt proves about the request. */
  enum Outcome {
    NOT_RUN,
    MAY_HAVE_RUN,
    RESPONDED_200,
    RESPONDED_500
  }

  /** How much of the request the backend has read when the attempt ends. */
  enum Moment {
    /** Nothing is written yet, on an open connection. */
    BEFORE_WRITE,
    /** The head; the rest of a long body is being sent. */
    EARLY,
    /** The head and a part of a long body. */
    BODY_PARTLY_READ,
    /** The complete request. */
    READ
  }

  /** What the backend does. */
  interface Action {
    void on(RawBackend.Connection connection) throws IOException;
  }

  final Outcome outcome;
  final Moment moment;
  final Action action;

  AttemptEnd(Outcome outcome, Moment moment, Action action) {
    this.outcome = outcome;
    this.moment = moment;
    this.action = action;
  }

  private static String head(String status, String fields) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Backend-Seal: seal\r\nX-Attempt-Id: "
        + ID
        + "\r\n"
        + fields
        + "\r\n";
  }

  private static String sealed(String status, String body) {
    return head(status, "Content-Length: " + body.length() + "\r\n") + body;
  }

  private static String complete(String status, String body) {
    return sealed(status, body).replace("X-Backend-Seal: seal\r\n", "");
  }

  private static String notRun(String status) {
    return complete(status, "").replace("X-Attempt-Id", "X-Not-Run: 1\r\nX-Attempt-Id");
  }
}
