package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class PipelinedRequestsTest {
  private static final int MAX_REQUESTS = 16;
  private static final int MAX_BYTES = 512 << 10;

  private final PipelinedRequests requests = new PipelinedRequests();

  private static FullHttpRequest request(int bodyBytes) {
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bodyBytes]));
  }

  @Test
  void requestsArePolledInOrderWithTheirArrival() {
    FullHttpRequest first = request(1);
    FullHttpRequest second = request(2);
    requests.add(first, 10);
    requests.add(second, 20);
    assertEquals(new PipelinedRequests.Pipelined(first, 10), requests.poll());
    assertEquals(new PipelinedRequests.Pipelined(second, 20), requests.poll());
    assertNull(requests.poll());
    assertTrue(requests.isEmpty());
  }

  @Test
  void itIsFullAtTheLimitOfRequests() {
    for (int i = 1; i < MAX_REQUESTS; i++) {
      requests.add(request(0), i);
    }
    assertFalse(requests.isFull());
    requests.add(request(0), MAX_REQUESTS);
    assertTrue(requests.isFull());
    requests.poll();
    assertFalse(requests.isFull());
  }

  @Test
  void bytesCountUntilTheirRequestIsPolled() {
    requests.add(request(MAX_BYTES - 1), 1);
    assertFalse(requests.hasMaxBytes());
    requests.add(request(1), 2);
    assertTrue(requests.hasMaxBytes());
    requests.poll();
    assertFalse(requests.hasMaxBytes());
  }

  @Test
  void releaseAllReleasesEachRequest() {
    FullHttpRequest first = request(1);
    FullHttpRequest second = request(1);
    requests.add(first, 1);
    requests.add(second, 2);
    requests.releaseAll();
    assertEquals(0, first.refCnt());
    assertEquals(0, second.refCnt());
    assertTrue(requests.isEmpty());
  }
}
