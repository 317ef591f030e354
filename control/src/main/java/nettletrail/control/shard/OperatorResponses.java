package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import nettletrail.protocol.OrderForwardReply;

/** The answers to an operator's call: statuses and JSON bodies. */
final class OperatorResponses {

  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int PRECONDITION_FAILED = 412;
  static final int UNAVAILABLE = 503;

  /** Between core processes only: the recipient is not the owner and has done nothing. */
  static final int NOT_OWNER = 421;

  private OperatorResponses() {}

  /** The change is committed and made that edition. */
  static OrderForwardReply applied(long call, long edition) {
    return reply(call, OK, edition, json("{\"edition\":" + edition + "}"));
  }

  /** The active document. */
  static OrderForwardReply document(long call, long edition, ByteBuffer document) {
    return reply(call, OK, edition, document.duplicate());
  }

  /** The request is rejected with a 4xx status; edition is the active one. */
  static OrderForwardReply rejected(long call, int status, long edition, String reason) {
    return reply(call, status, edition, error(reason));
  }

  /** The outcome is unknown, or nothing was done; the caller may retry. */
  static OrderForwardReply unavailable(long call, String reason) {
    return new OrderForwardReply(call, UNAVAILABLE, "", error(reason));
  }

  /** The recipient is not the owner; the sender may forward the request to another process. */
  static OrderForwardReply notOwner(long call) {
    return new OrderForwardReply(call, NOT_OWNER, "", error("not the owner"));
  }

  /** The JSON body of an error; characters that would need an escape become spaces. */
  static ByteBuffer error(String reason) {
    StringBuilder text = new StringBuilder("{\"error\":\"");
    for (int index = 0; index < reason.length(); index++) {
      char character = reason.charAt(index);
      boolean plain = character >= ' ' && character != '"' && character != '\\';
      text.append(plain ? character : ' ');
    }
    return json(text.append("\"}").toString());
  }

  private static OrderForwardReply reply(long call, int status, long edition, ByteBuffer body) {
    return new OrderForwardReply(call, status, Long.toString(edition), body);
  }

  private static ByteBuffer json(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }
}
