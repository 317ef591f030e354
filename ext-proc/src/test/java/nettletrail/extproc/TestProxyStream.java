package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Channel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.proxy.Messages;

/** A proxy's stream, controlled by a test: sends messages and receives responses one at a time. */
final class TestProxyStream
    implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
  private static final int TIMEOUT_SECONDS = 10;

  private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
  private ClientCallStreamObserver<ProcessingRequest> requestObserver;

  TestProxyStream(Channel channel) {
    ExternalProcessorGrpc.newStub(channel).process(this);
  }

  @Override
  public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
    requestObserver = stream;
  }

  TestProxyStream send(ProcessingRequest message) {
    requestObserver.onNext(message);
    return this;
  }

  TestProxyStream sendRequestHeaders(Map<String, String> headers) {
    return send(Messages.requestHeaders(headers));
  }

  TestProxyStream outcome(int status, String... more) {
    Map<String, String> headers =
        new java.util.LinkedHashMap<>(Map.of(":status", Integer.toString(status)));
    for (int i = 0; i < more.length; i += 2) {
      headers.put(more[i], more[i + 1]);
    }
    return send(Messages.responseHeaders(headers, null));
  }

  ProcessingResponse next() throws InterruptedException {
    Object next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(next, "no answer in " + TIMEOUT_SECONDS + " s");
    assertTrue(next instanceof ProcessingResponse, "ended instead of an answer: " + next);
    return (ProcessingResponse) next;
  }

  /** Waits for the end of the stream and returns its status. */
  Status end() throws InterruptedException {
    Object next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(next, "no end in " + TIMEOUT_SECONDS + " s");
    assertTrue(next instanceof Status, "an answer instead of the end: " + next);
    return (Status) next;
  }

  /** The endpoint that the next response names; fails if it is not a decision to forward. */
  String expectForward() throws InterruptedException {
    ProcessingResponse next = next();
    assertTrue(next.hasRequestHeaders(), "no decision to forward: " + next);
    return Messages.set(next, "x-gateway-destination-endpoint");
  }

  /** The status of the next response; fails if it is not an immediate response. */
  int expectImmediateStatus() throws InterruptedException {
    ProcessingResponse next = next();
    assertTrue(next.hasImmediateResponse(), "no immediate answer: " + next);
    return next.getImmediateResponse().getStatus().getCodeValue();
  }

  boolean isSilentFor(long ms) throws InterruptedException {
    return received.poll(ms, TimeUnit.MILLISECONDS) == null;
  }

  void cancel() {
    requestObserver.cancel("test", null);
  }

  void complete() {
    requestObserver.onCompleted();
  }

  @Override
  public void onNext(ProcessingResponse answer) {
    received.add(answer);
  }

  @Override
  public void onError(Throwable fault) {
    received.add(Status.fromThrowable(fault));
  }

  @Override
  public void onCompleted() {
    received.add(Status.OK);
  }
}
