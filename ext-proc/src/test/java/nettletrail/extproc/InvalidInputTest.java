package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.BodySendMode;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpBody;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpTrailers;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProtocolConfiguration;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import nettletrail.extproc.ExtProcTestServer.ScriptedGateway;
import nettletrail.proxy.Messages;
import nettletrail.site.Ledger;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Invalid, excessive or unsupported input is rejected with a clear reason and doesn't affect other
 * callers.
 */
@Timeout(60)
class InvalidInputTest {
  private static final long NODE = Endpoint.idOf("s-1");

  @TempDir private Path folder;
  private ExtProcTestServer server;
  private StandInBackend backend;
  private final ScriptedGateway module = new ScriptedGateway(NODE);

  @BeforeEach
  void make() {
    server = new ExtProcTestServer(folder);
    backend =
        new StandInBackend("s-1", server.group, new Ledger(), StandInBackend.Manner.good(1), 1);
    server.agent.set("s-1", backend.address(), "SERVING", 0);
  }

  @AfterEach
  void end() {
    backend.close();
    server.close();
  }

  private String body(ProcessingResponse answer) {
    return answer.getImmediateResponse().getBody().toStringUtf8();
  }

  /**
   * The error names the header and the rule but doesn't echo the value; nothing reaches the module.
   */
  @ParameterizedTest
  @CsvSource({
    "x-txn,,X-Txn is missing",
    "x-txn,12,X-Txn: it must be 16 hex digits",
    "x-lane,secret-lane,X-Lane: it must name a class",
    "x-plan,secret-plan,X-Plan: it must name a plan",
    "x-customer,ffffffffffffffff,X-Customer: it must be",
    "x-remaining-ms,-1,X-Remaining-Ms: it must be",
    "x-remaining-ms,99999999999,X-Remaining-Ms: it must be",
    "x-quota,,X-Quota is missing",
    "x-quota,'units=7,spread=1,first=0',X-Quota: it must be",
    "x-quota,'units=NaN,spread=1,first=0',X-Quota: it must be",
    "x-quota,'units=1,spread=0,first=0',X-Quota: it must be",
    ":method,GET,the method of class order-submit"
  })
  void invalidHeaderIsNamedInError(String header, String value, String expectedText)
      throws Exception {
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection())
            .sendRequestHeaders(
                ExtProcTestServer.with(ExtProcTestServer.submit("a1"), header, value));
    ProcessingResponse answer = stream.next();
    assertEquals(400, answer.getImmediateResponse().getStatus().getCodeValue());
    assertTrue(body(answer).contains(expectedText), body(answer));
    assertTrue(!body(answer).contains("secret"), body(answer));
    assertTrue(module.calls.isEmpty());
    assertEquals(Status.Code.OK, stream.end().getCode());
  }

  @Test
  void repeatedRequestIdIsRejected() throws Exception {
    server.start(module.module());
    HeaderMap.Builder twice = Messages.headers(ExtProcTestServer.submit("a1")).toBuilder();
    twice.addHeaders(
        HeaderValue.newBuilder()
            .setKey("X-Txn")
            .setRawValue(ByteString.copyFromUtf8(ExtProcTestServer.txn("a2"))));
    ProcessingResponse answer =
        new TestProxyStream(server.connection())
            .send(
                ProcessingRequest.newBuilder()
                    .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(twice))
                    .build())
            .next();
    assertTrue(body(answer).contains("x-txn is there twice"), body(answer));
    assertTrue(module.calls.isEmpty());
  }

  @ParameterizedTest
  @CsvSource({
    "X-Customer",
    "x-lane",
    "X-Plan",
    "x-quota",
    "X-Remaining-Ms",
    "authorization",
    ":authority"
  })
  void repeatedSingleValueHeaderIsRejected(String name) throws Exception {
    server.start(module.module());
    HeaderMap.Builder twice = Messages.headers(ExtProcTestServer.submit("a1")).toBuilder();
    for (int i = 0; i < 2; i++) {
      twice.addHeaders(
          HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8("1")));
    }
    ProcessingResponse answer =
        new TestProxyStream(server.connection())
            .send(
                ProcessingRequest.newBuilder()
                    .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(twice))
                    .build())
            .next();
    assertTrue(
        body(answer).contains(name.toLowerCase(java.util.Locale.ROOT) + " is there twice"),
        body(answer));
    assertTrue(module.calls.isEmpty());
  }

  /**
   * HTTP/2 has no line folding; a value with a line break would become two header lines when
   * forwarded.
   */
  @ParameterizedTest
  @CsvSource({"'\r\n x'", "'\n'", "'\0'"})
  void controlCharacterInValueIsRejected(String end) throws Exception {
    server.start(module.module());
    String text = end.replace("\\r", "\r").replace("\\n", "\n").replace("\\0", "\0");
    ProcessingResponse answer =
        new TestProxyStream(server.connection())
            .sendRequestHeaders(
                ExtProcTestServer.with(
                    ExtProcTestServer.submit("a1"), "x-customer", "00000000000000aa" + text))
            .next();
    assertTrue(body(answer).contains("x-customer holds a line's end"), body(answer));
    assertTrue(module.calls.isEmpty());
  }

  @Test
  void idOpenAtFrontDoorIsRejected() throws Exception {
    ScriptedGateway silent = new ScriptedGateway(0);
    server.start(silent.module());
    try (Socket client = new Socket("127.0.0.1", server.door().address().getPort())) {
      StringBuilder request =
          new StringBuilder("POST /api HTTP/1.1\r\nHost: gw\r\nContent-Length: 0\r\n");
      ExtProcTestServer.submit("a1")
          .forEach(
              (name, value) ->
                  request.append(name.startsWith("x-") ? name + ": " + value + "\r\n" : ""));
      client.getOutputStream().write((request + "\r\n").getBytes(StandardCharsets.US_ASCII));
      silent.expectCall(Gateway.Request.class);
      ProcessingResponse answer =
          new TestProxyStream(server.connection())
              .sendRequestHeaders(ExtProcTestServer.submit("a1"))
              .next();
      assertEquals(400, answer.getImmediateResponse().getStatus().getCodeValue());
      assertTrue(body(answer).contains("open here"), body(answer));
    }
  }

  @Test
  void oversizedHeadersEndOnlyTheirStream() throws Exception {
    server.start(module.module());
    ManagedChannel connection = server.connection();
    TestProxyStream other =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("b1"));
    TestProxyStream stream =
        new TestProxyStream(connection)
            .sendRequestHeaders(
                ExtProcTestServer.with(
                    ExtProcTestServer.submit("a1"), "x-much", "m".repeat(1 << 20)));
    assertEquals(Status.Code.RESOURCE_EXHAUSTED, stream.end().getCode());
    other.expectForward();
    other.outcome(200);
    assertTrue(other.next().hasResponseHeaders());
  }

  @Test
  void outOfOrderMessageEndsStreamAndIsNamed() throws Exception {
    server.start(module.module());
    ManagedChannel connection = server.connection();
    ProcessingRequest body =
        ProcessingRequest.newBuilder()
            .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFromUtf8("x")))
            .build();
    Status first = new TestProxyStream(connection).send(body).end();
    assertEquals(Status.Code.INVALID_ARGUMENT, first.getCode());
    assertTrue(
        first.getDescription().contains("request_body before request_headers"),
        first.getDescription());
    Status empty =
        new TestProxyStream(connection).send(ProcessingRequest.getDefaultInstance()).end();
    assertTrue(empty.getDescription().contains("without a request"), empty.getDescription());
    TestProxyStream two =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    two.expectForward();
    Status another = two.sendRequestHeaders(ExtProcTestServer.submit("a2")).end();
    assertTrue(another.getDescription().contains("of another request"), another.getDescription());
    TestProxyStream tail =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a3"));
    tail.expectForward();
    Status late =
        tail.send(ProcessingRequest.newBuilder().setResponseBody(HttpBody.newBuilder()).build())
            .end();
    assertTrue(
        late.getDescription().contains("response_body before response_headers"),
        late.getDescription());
    TestProxyStream odd =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a4"));
    odd.expectForward();
    assertTrue(odd.outcome(7).end().getDescription().contains(":status"));
  }

  // ---- Modes
  // ------------------------------------------------------------------------------------------

  private static ProcessingRequest.Builder modes(BodySendMode request, BodySendMode response) {
    return ProcessingRequest.newBuilder()
        .setProtocolConfig(
            ProtocolConfiguration.newBuilder()
                .setRequestBodyMode(request)
                .setResponseBodyMode(response));
  }

  @ParameterizedTest
  @CsvSource({"NONE,NONE", "STREAMED,STREAMED", "BUFFERED,BUFFERED", "BUFFERED_PARTIAL,NONE"})
  void bodiesAndTrailersAreAcknowledgedUnchanged(BodySendMode request, BodySendMode response)
      throws Exception {
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection())
            .send(
                modes(request, response)
                    .setRequestHeaders(
                        HttpHeaders.newBuilder()
                            .setHeaders(Messages.headers(ExtProcTestServer.submit("a1"))))
                    .build());
    stream.expectForward();
    for (int i = 0; i < 3; i++) {
      stream.send(
          ProcessingRequest.newBuilder()
              .setRequestBody(
                  HttpBody.newBuilder()
                      .setBody(ByteString.copyFromUtf8("part"))
                      .setEndOfStream(i == 2))
              .build());
      ProcessingResponse answer = stream.next();
      assertTrue(
          answer.hasRequestBody() && !answer.getRequestBody().getResponse().hasBodyMutation());
    }
    stream.send(
        ProcessingRequest.newBuilder()
            .setRequestTrailers(HttpTrailers.getDefaultInstance())
            .build());
    assertTrue(stream.next().hasRequestTrailers());
    assertTrue(stream.outcome(200).next().hasResponseHeaders());
    stream.send(
        ProcessingRequest.newBuilder().setResponseBody(HttpBody.getDefaultInstance()).build());
    assertTrue(stream.next().hasResponseBody());
    stream.send(
        ProcessingRequest.newBuilder()
            .setResponseTrailers(HttpTrailers.getDefaultInstance())
            .build());
    assertTrue(stream.next().hasResponseTrailers());
  }

  /**
   * A proxy may send the body before the decision; the responses follow in order after the
   * decision.
   */
  @Test
  void earlyBodyPartsAreAnsweredAfterDecision() throws Exception {
    ScriptedGateway slow = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(slow.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = slow.expectCall(Gateway.Request.class).id();
    ProcessingRequest part =
        ProcessingRequest.newBuilder().setRequestBody(HttpBody.newBuilder()).build();
    stream.send(part).send(part);
    stream.send(
        ProcessingRequest.newBuilder()
            .setRequestTrailers(HttpTrailers.getDefaultInstance())
            .build());
    slow.onLoop(server, actions -> actions.send(id, NODE, 0));
    stream.expectForward();
    assertTrue(stream.next().hasRequestBody());
    assertTrue(stream.next().hasRequestBody());
    assertTrue(stream.next().hasRequestTrailers());
  }

  @Test
  void unsupportedModeIsNamed() throws Exception {
    server.start(module.module());
    Status status =
        new TestProxyStream(server.connection())
            .send(
                modes(BodySendMode.FULL_DUPLEX_STREAMED, BodySendMode.NONE)
                    .setRequestHeaders(
                        HttpHeaders.newBuilder()
                            .setHeaders(Messages.headers(ExtProcTestServer.submit("a1"))))
                    .build())
            .end();
    assertEquals(Status.Code.FAILED_PRECONDITION, status.getCode());
    assertTrue(
        status.getDescription().contains("request_body_mode FULL_DUPLEX_STREAMED is not served"),
        status.getDescription());
    assertTrue(module.calls.isEmpty());
  }

  /** The proxy continues regardless, so no quota is drawn and no response is sent. */
  @Test
  void observabilityModeDrawsNothingAndGetsNoResponse() throws Exception {
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection())
            .send(
                Messages.requestHeaders(ExtProcTestServer.submit("a1")).toBuilder()
                    .setObservabilityMode(true)
                    .build());
    stream.send(
        Messages.responseHeaders(Map.of(":status", "200"), null).toBuilder()
            .setObservabilityMode(true)
            .build());
    stream.complete();
    assertEquals(Status.Code.OK, stream.end().getCode());
    assertTrue(module.calls.isEmpty());
  }

  // ---- Limits
  // -----------------------------------------------------------------------------------------

  @Test
  void requestAboveOpenLimitIsRefusedAtOnce() throws Exception {
    ScriptedGateway silent = new ScriptedGateway(0);
    server
        .with("most_open", 2L)
        .with("budget_ms", 1_000L)
        .with("reserve_ms", 10L)
        .start(silent.module());
    ManagedChannel connection = server.connection();
    new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a2"));
    silent.expectCall(Gateway.Request.class);
    silent.expectCall(Gateway.Request.class);
    assertEquals(
        429,
        new TestProxyStream(connection)
            .sendRequestHeaders(ExtProcTestServer.submit("a3"))
            .expectImmediateStatus());
    assertTrue(silent.calls.isEmpty());
  }

  @Test
  void connectionAboveLimitIsClosedAndOthersAreServed() throws Exception {
    server.with("most_callers", 1L).start(module.module());
    ManagedChannel first = server.connection();
    new TestProxyStream(first).sendRequestHeaders(ExtProcTestServer.submit("a1")).expectForward();
    assertEquals(
        Status.Code.UNAVAILABLE,
        new TestProxyStream(server.connection())
            .sendRequestHeaders(ExtProcTestServer.submit("a2"))
            .end()
            .getCode());
    new TestProxyStream(first).sendRequestHeaders(ExtProcTestServer.submit("a3")).expectForward();
  }

  /** A connection that opens and resets streams rapidly is closed; another is served meanwhile. */
  @Test
  void rapidResetClosesItsConnectionOnly() throws Exception {
    server.start(module.module());
    ManagedChannel other = server.connection();
    new TestProxyStream(other).sendRequestHeaders(ExtProcTestServer.submit("b0")).expectForward();
    try (Socket socket = new Socket("127.0.0.1", server.front().grpcAddress().getPort())) {
      socket.setSoTimeout(10_000);
      DataOutputStream to =
          new DataOutputStream(new java.io.BufferedOutputStream(socket.getOutputStream()));
      to.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      frame(to, 4, 0, 0, new byte[0]);
      // HPACK, RFC 7541: indexed :method POST, :scheme http; literal :path, :authority,
      // content-type, te.
      byte[] head = hpack();
      boolean closed = false;
      int streams = 0;
      try {
        for (; streams < 20_000 && !closed; streams++) {
          frame(to, 1, 4, 2 * streams + 1, head);
          frame(to, 3, 0, 2 * streams + 1, new byte[] {0, 0, 0, 8});
          if (streams % 1_000 == 500) {
            to.flush();
            new TestProxyStream(other)
                .sendRequestHeaders(ExtProcTestServer.submit("c" + Integer.toHexString(streams)))
                .expectForward();
          }
        }
        to.flush();
      } catch (SocketException e) {
        closed = true;
      }
      assertTrue(
          closed || ended(socket), "the connection is still open after " + streams + " resets");
    }
    new TestProxyStream(other).sendRequestHeaders(ExtProcTestServer.submit("b1")).expectForward();
  }

  private static boolean ended(Socket socket) throws IOException {
    DataInputStream from = new DataInputStream(socket.getInputStream());
    try {
      while (true) {
        int length = from.readUnsignedByte() << 16 | from.readUnsignedShort();
        int type = from.readUnsignedByte();
        from.readFully(new byte[5 + length]);
        if (type == 7) {
          return true; // GOAWAY
        }
      }
    } catch (EOFException | SocketException e) {
      return true;
    }
  }

  private static void frame(DataOutputStream to, int type, int flags, int stream, byte[] payload)
      throws IOException {
    to.write(
        new byte[] {
          (byte) (payload.length >> 16),
          (byte) (payload.length >> 8),
          (byte) payload.length,
          (byte) type,
          (byte) flags
        });
    to.writeInt(stream);
    to.write(payload);
  }

  private static byte[] hpack() throws IOException {
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    out.write(0x83);
    out.write(0x86);
    literal(out, ":path", "/envoy.service.ext_proc.v3.ExternalProcessor/Process");
    literal(out, ":authority", "localhost");
    literal(out, "content-type", "application/grpc");
    literal(out, "te", "trailers");
    return out.toByteArray();
  }

  private static void literal(java.io.ByteArrayOutputStream out, String name, String value)
      throws IOException {
    out.write(0);
    out.write(name.length());
    out.write(name.getBytes(StandardCharsets.US_ASCII));
    out.write(value.length());
    out.write(value.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * A caller that never reads: its responses wait for its flow-control window, and others are not
   * delayed.
   */
  @Test
  void callerThatDoesNotReadDoesNotDelayOthers() throws Exception {
    server.start(module.module());
    ManagedChannel other = server.connection();
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(1_024);
      socket.connect(server.front().grpcAddress());
      DataOutputStream to = new DataOutputStream(socket.getOutputStream());
      to.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      frame(to, 4, 0, 0, new byte[] {0, 4, 0, 0, 0, 1}); // SETTINGS_INITIAL_WINDOW_SIZE = 1
      byte[] head = hpack();
      List<Integer> asked = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        byte[] message =
            Messages.requestHeaders(ExtProcTestServer.submit("d" + Integer.toHexString(4096 + i)))
                .toByteArray();
        byte[] framed = new byte[message.length + 5];
        framed[3] = (byte) (message.length >> 8);
        framed[4] = (byte) message.length;
        System.arraycopy(message, 0, framed, 5, message.length);
        frame(to, 1, 4, 2 * i + 1, head);
        frame(to, 0, 0, 2 * i + 1, framed);
        asked.add(i);
      }
      for (int i = 0; i < 200; i++) {
        module.expectCall(Gateway.Request.class);
      }
      for (int i = 0; i < 20; i++) {
        TestProxyStream stream =
            new TestProxyStream(other)
                .sendRequestHeaders(ExtProcTestServer.submit("e" + Integer.toHexString(i)));
        stream.expectForward();
        assertTrue(stream.outcome(200).next().hasResponseHeaders());
      }
    }
  }
}
