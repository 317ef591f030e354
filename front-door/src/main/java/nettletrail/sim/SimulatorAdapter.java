package nettletrail.sim;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.decision.ApertureGateway;
import nettletrail.decision.ApertureSettings;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewayDecider;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.decision.InvalidInputException;

/**
 * Runs instances of the decision module for the simulator: frames, events and actions of its wire
 * protocol, nothing else.
 */
public final class SimulatorAdapter {
  private static final int EVENT_SIZE = 56;
  private static final int ACTION_SIZE = 24;
  private static final int ENTRY_SIZE = 23;
  private static final int BATCH_HEADER = 20;
  private static final int REPLY_HEADER = 12;
  private static final int MAX_FRAME_BYTES = 1 << 30;

  private final DataInputStream in;
  private final OutputStream out;
  private final Map<Integer, GatewayInstance> instances = new HashMap<>();
  private ByteBuffer body = buffer(1 << 16);
  private ByteBuffer actions = buffer(1 << 16);
  private ByteBuffer texts = buffer(1 << 12);
  private int actionCount;

  public SimulatorAdapter(InputStream in, OutputStream out) {
    this.in = new DataInputStream(in);
    this.out = out;
  }

  /** Processes batches until the input ends. */
  public void run() throws IOException {
    ByteBuffer header = buffer(BATCH_HEADER);
    while (readHeader(header)) {
      int batch = header.getInt(0);
      int length = header.getInt(4);
      long now = header.getLong(8);
      int count = header.getInt(16);
      String context = "batch " + Integer.toUnsignedString(batch);
      if (length < 0
          || length > MAX_FRAME_BYTES
          || count < 0
          || (long) count * EVENT_SIZE > length) {
        throw new InvalidInputException(
            context
                + ": "
                + Integer.toUnsignedString(count)
                + " records do not fit in "
                + Integer.toUnsignedString(length)
                + " bytes");
      }
      if (body.capacity() < length) {
        body = buffer(Math.max(length, 2 * body.capacity()));
      }
      try {
        in.readFully(body.array(), 0, length);
      } catch (EOFException e) {
        throw new InvalidInputException(context + ": input ended inside the frame");
      }
      actions.clear().position(REPLY_HEADER);
      texts.clear();
      actionCount = 0;
      for (int i = 0; i < count; i++) {
        handleEvent(now, i * EVENT_SIZE, count * EVENT_SIZE, length, context + ", record " + i);
      }
      reply(batch);
    }
  }

  private boolean readHeader(ByteBuffer header) throws IOException {
    int got = in.readNBytes(header.array(), 0, BATCH_HEADER);
    if (got != 0 && got < BATCH_HEADER) {
      throw new InvalidInputException("input ended inside a batch header, after " + got + " bytes");
    }
    return got == BATCH_HEADER;
  }

  private void reply(int batch) throws IOException {
    int length = actions.position() - REPLY_HEADER + texts.position();
    actions.putInt(0, batch).putInt(4, actionCount).putInt(8, length);
    out.write(actions.array(), 0, actions.position());
    out.write(texts.array(), 0, texts.position());
    out.flush();
  }

  private void handleEvent(long now, int at, int tail, int end, String context) {
    int code = body.getShort(at) & 0xffff;
    int number = body.getShort(at + 2) & 0xffff;
    if (code == 1000) {
      String text =
          new String(
              body.array(),
              tailStart(at + 12, tail, end, 1, context),
              body.getInt(at + 16),
              StandardCharsets.UTF_8);
      try {
        instances.put(number, new GatewayInstance(number, text, body.getLong(at + 4), now));
      } catch (InvalidInputException | IllegalArgumentException e) {
        throw new InvalidInputException(
            context + " (start of instance " + number + "): " + e.getMessage());
      }
      return;
    }
    if (code == 1090) {
      instances.remove(number);
      return;
    }
    if (code < 1000 || code > 1100 || code % 10 != 0) {
      throw new InvalidInputException(context + ": unknown event code " + code);
    }
    GatewayInstance instance = instances.get(number);
    if (instance == null) {
      throw new InvalidInputException(
          context + ": event " + code + " for instance " + number + ", which was never started");
    }
    try {
      dispatchEvent(code, instance, now, at, tail, end, context);
    } catch (InvalidInputException e) {
      throw e;
    } catch (RuntimeException e) {
      instance.fault(e);
    }
  }

  private void dispatchEvent(
      int code, GatewayInstance instance, long now, int at, int tail, int end, String context) {
    switch (code) {
      case 1010 -> {
        int kind = body.get(at + 12);
        int first = tailStart(at + 13, tail, end, ENTRY_SIZE, context);
        int rows = body.getInt(at + 17);
        if (kind == 3) {
          instance.gateway.onDiscoveryFailure(now);
        } else {
          List<Gateway.Backend> entries = new ArrayList<>(rows);
          for (int i = 0; i < rows; i++) {
            entries.add(entry(first + i * ENTRY_SIZE, context));
          }
          instance.gateway.onBackends(now, kind != 1, entries);
        }
      }
      case 1020 ->
          instance.gateway.onRequest(
              now,
              new Gateway.Request(
                  body.getLong(at + 4),
                  body.getShort(at + 12) & 0xffff,
                  body.getShort(at + 14) & 0xffff,
                  body.getLong(at + 32),
                  body.getFloat(at + 28),
                  Math.max(1, Math.round(body.getFloat(at + 16))),
                  body.getLong(at + 20)));
      case 1040 ->
          instance.gateway.onAttemptEnd(
              now,
              new Gateway.AttemptReport(
                  body.getLong(at + 4),
                  body.getShort(at + 25) & 0xffff,
                  body.getInt(at + 29) & 0xffffffffL,
                  outcome(body.getShort(at + 27) & 0xffff, context),
                  body.get(at + 12) != 0,
                  body.getLong(at + 13),
                  (body.getShort(at + 21) & 0xffff) - 1,
                  body.getShort(at + 23) & 0xffff,
                  instance.load(at + 33)));
      case 1050 -> instance.gateway.onRequestCancelled(now, body.getLong(at + 4));
      case 1060 -> instance.gateway.onTimer(now, body.getInt(at + 4));
      default -> {} // begun, probe_result, whisper, added: not used by the module
    }
  }

  private Gateway.Backend entry(int at, String context) {
    Gateway.DiscoveryState state =
        switch (body.get(at + 10)) {
          case 0 -> Gateway.DiscoveryState.GONE;
          case 1 -> Gateway.DiscoveryState.READY;
          case 2 -> Gateway.DiscoveryState.DRAINING;
          default ->
              throw new InvalidInputException(
                  context + ": unknown backend condition " + body.get(at + 10));
        };
    return new Gateway.Backend(
        body.getInt(at) & 0xffffffffL,
        body.getShort(at + 4) & 0xffff,
        body.getShort(at + 6) & 0xffff,
        body.getShort(at + 8) & 0xffff,
        state,
        body.getFloat(at + 11),
        body.getLong(at + 15));
  }

  private static Gateway.Outcome outcome(int status, String context) {
    return switch (status) {
      case 200 -> Gateway.Outcome.OK;
      case 500 -> Gateway.Outcome.ERROR;
      case 503 -> Gateway.Outcome.FULL;
      case 504 -> Gateway.Outcome.TIMED_OUT;
      case 502 -> Gateway.Outcome.CONNECT_FAILED;
      case 598 -> Gateway.Outcome.RESET;
      case 499 -> Gateway.Outcome.CANCELLED;
      case 410 -> Gateway.Outcome.NEVER_SENT;
      default -> throw new InvalidInputException(context + ": unknown outcome " + status);
    };
  }

  /** Offset of a tail field in the body, checked to lie inside the tail. */
  private int tailStart(int field, int tail, int end, int size, String context) {
    long offset = body.getInt(field) & 0xffffffffL;
    long length = (body.getInt(field + 4) & 0xffffffffL) * size;
    if (tail + offset + length > end) {
      throw new InvalidInputException(
          context + ": " + length + " bytes at " + offset + " run past the end of the frame");
    }
    return (int) (tail + offset);
  }

  private static ByteBuffer buffer(int size) {
    return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static ByteBuffer withCapacity(ByteBuffer from, int room) {
    if (from.remaining() >= room) {
      return from;
    }
    return buffer(2 * from.capacity() + room).put(from.flip());
  }

  /** One instance of the module, and the translation of its actions. */
  private final class GatewayInstance implements Gateway.Actions {
    private final short number;
    private final int waitingAt;
    private final int busyAt;
    private final int servedAt;
    private final Gateway gateway;

    GatewayInstance(int number, String text, long seed, long now) {
      this.number = (short) number;
      GatewaySettingsReader reader = new GatewaySettingsReader(text);
      List<String> fields = reader.loadReportFields();
      waitingAt = fields.indexOf(GatewaySettingsReader.QUEUED_REQUESTS);
      busyAt = fields.indexOf(GatewaySettingsReader.CPU_UTILIZATION);
      servedAt = fields.indexOf(GatewaySettingsReader.REQUESTS_PER_SECOND);
      Gateway.Settings settings = reader.settings(seed);
      gateway =
          ApertureGateway.wrap(
              new GatewayDecider(settings, now, this),
              settings,
              reader.gatewayIndex(),
              reader.aperture(ApertureSettings.DEFAULT));
    }

    Gateway.LoadReport load(int at) {
      int n = body.get(at);
      return n <= 0
          ? null
          : new Gateway.LoadReport(
              value(at, n, waitingAt), value(at, n, busyAt), value(at, n, servedAt));
    }

    private double value(int at, int n, int position) {
      return position < 0 || position >= n ? Double.NaN : body.getFloat(at + 1 + 4 * position);
    }

    /** Appends an action's record; the caller writes its fields at the returned offset. */
    private int action(int code) {
      actions = withCapacity(actions, ACTION_SIZE);
      int at = actions.position();
      actions.putShort((short) code).putShort(number).putInt(0).putLong(0).putLong(0);
      actionCount++;
      return at;
    }

    private void textAction(int code, String text) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      texts = withCapacity(texts, bytes.length);
      int at = action(code);
      actions.putInt(at + 4, texts.position()).putInt(at + 8, bytes.length);
      texts.put(bytes);
    }

    @Override
    public void send(long requestId, long backendId, long timeoutNs) {
      int at = action(1110);
      actions
          .putLong(at + 4, requestId)
          .putInt(at + 12, (int) backendId)
          .putLong(at + 16, timeoutNs);
    }

    @Override
    public void reject(long requestId, long retryAfterNs) {
      int at = action(1030);
      actions.putLong(at + 4, requestId).putLong(at + 12, retryAfterNs);
    }

    @Override
    public void fail(long requestId) {
      int at = action(1070);
      actions.putLong(at + 4, requestId);
    }

    @Override
    public void startTimer(int token, long ns) {
      int at = action(1050);
      actions.putInt(at + 4, token).putLong(at + 8, ns);
    }

    @Override
    public void subscribeBackends() {
      int at = action(1020);
      actions.put(at + 4, (byte) 1);
    }

    @Override
    public void log(String line) {
      textAction(1080, line);
    }

    void fault(RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      textAction(1100, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
