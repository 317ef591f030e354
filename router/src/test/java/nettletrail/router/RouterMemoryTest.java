package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that use up the memory for their bodies, while others send small requests. */
@Timeout(60)
class RouterMemoryTest {
  private static final String KEY = RouterFixture.KEY;
  private static final int BODY_BYTES = 512 << 10;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int UPLOADS = 60;

  /** More than what is held for the connections themselves. */
  private static final int HELD_BY_HEADS = 64 << 10;

  /** Pieces that are much smaller than the buffers that they are read into. */
  private static final int PIECE_BYTES = 5_000;

  private RouterFixture fixture;

  /** Holds 16 MiB for clients. */
  @BeforeEach
  void start() throws Exception {
    fixture = RouterFixture.withRetries(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private TestClient beginUpload(String id, int length) throws IOException {
    TestClient client = fixture.client();
    client.write(head(id, "Content-Length: " + length));
    return client;
  }

  private static String head(String id, String framing) {
    return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: "
        + id
        + "\r\n"
        + KEY
        + "\r\n"
        + framing
        + "\r\n\r\n";
  }

  private static String bytes(int count) {
    return "x".repeat(count);
  }

  private void admitThreeQuartersOfTheMemory() throws Exception {
    int lengths = 0;
    for (int i = 0; i < 3; i++) {
      beginUpload("h" + i, MAX_BODY_BYTES - HELD_BY_HEADS);
      lengths += MAX_BODY_BYTES - HELD_BY_HEADS;
    }
    while (expected() < lengths) {
      Thread.onSpinWait();
    }
  }

  private long held() throws Exception {
    return fixture.onLoop(() -> fixture.router.memory().heldBytes());
  }

  private long expected() throws Exception {
    return fixture.onLoop(() -> fixture.router.memory().expectedBytes());
  }

  private void expectSmallRequestToBeServed(ScriptedBackend backend) throws Exception {
    TestClient client = fixture.client();
    client.post("/once/x", "small", "small", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("small", request.id());
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  // Guards against: uploads use up a door's direct memory, and it answers nobody for minutes.
  @Test
  void
      givenMoreUploadsThanFit_whenTheyAreInProgress_thenTheRestIsRejectedAndSmallRequestsAreServed()
          throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    List<TestClient> admitted = new ArrayList<>();
    int rejected = 0;
    for (int i = 0; i < UPLOADS; i++) {
      long expectedBefore = expected();
      TestClient client = beginUpload("u" + i, BODY_BYTES);
      TestClient.Response response = client.readIfAvailable();
      while (response == null && expected() == expectedBefore) {
        response = client.readIfAvailable();
      }
      if (response == null) {
        admitted.add(client);
      } else {
        rejected++;
        assertEquals(503, response.status());
        assertNotNull(response.header("Retry-After"));
      }
    }
    assertEquals(24, admitted.size(), 1, "three quarters of the memory");
    assertEquals(UPLOADS, admitted.size() + rejected);
    for (int sent = 0; sent + PIECE_BYTES < BODY_BYTES; sent += PIECE_BYTES) {
      for (TestClient client : admitted) {
        client.write(bytes(PIECE_BYTES));
      }
    }
    assertTrue(held() <= 16 << 20, "held are " + held());
    expectSmallRequestToBeServed(backend);
    for (TestClient client : admitted) {
      client.write(bytes(BODY_BYTES % PIECE_BYTES));
      ScriptedBackend.Received upload = backend.nextRequest();
      assertEquals(BODY_BYTES, upload.body.length());
      upload.respond("200 OK", "");
      assertEquals(200, client.read().status());
    }
  }

  // Guards against: a connection whose request was rejected unread is of no further use.
  @Test
  void givenAnUploadThatWasRejectedAtItsHead_whenItsBodyIsSent_thenTheNextRequestIsServed()
      throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    admitThreeQuartersOfTheMemory();
    TestClient client = beginUpload("id-1", BODY_BYTES);
    assertEquals(503, client.read().status());
    client.write(bytes(BODY_BYTES));
    client.post("/once/x", "id-2", "small", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("id-2", request.id());
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  // Guards against: a client that declares no length takes more than there is.
  @Test
  void givenNoRoom_whenABodyOfUnknownLengthGoesOn_thenItIsRejectedAndTheConnectionCloses()
      throws Exception {
    admitThreeQuartersOfTheMemory();
    TestClient client = fixture.client();
    client.write(head("id-1", "Transfer-Encoding: chunked"));
    String chunk = Integer.toHexString(BODY_BYTES) + "\r\n" + bytes(BODY_BYTES) + "\r\n";
    client.write(chunk);
    assertEquals(503, client.read().status());
    assertTrue(client.isClosed());
  }

  // Guards against: memory that a client's end doesn't return, until nobody is admitted any more.
  @Test
  void givenClientsThatEndInAnyState_whenAllAreGone_thenNoMemoryIsHeldOrExpected()
      throws Exception {
    Random random = new Random(20261204);
    ScriptedBackend backend = fixture.backend("b1");
    for (int i = 0; i < 200; i++) {
      TestClient client = beginUpload("id-" + i, 1 + random.nextInt(1 << 20));
      int sent = random.nextInt(3) == 0 ? 0 : random.nextInt(100_000);
      trySend(client, bytes(sent));
      if (random.nextInt(3) > 0) {
        client.close();
      } else if (random.nextBoolean()) {
        client.endSending();
      }
    }
    fixture.closeClients();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (expected() + held() > 0 && System.nanoTime() < deadline) {
      Thread.onSpinWait();
    }
    assertEquals(0, expected());
    assertEquals(0, held());
    expectSmallRequestAmongOthers(backend);
  }

  private static void trySend(TestClient client, String bytes) {
    try {
      client.write(bytes);
    } catch (IOException closed) {
      // the router has rejected it
    }
  }

  /** Complete uploads of clients that are gone may have been sent before. */
  private void expectSmallRequestAmongOthers(ScriptedBackend backend) throws Exception {
    TestClient client = fixture.client();
    client.post("/once/x", "small", "small", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    while (!request.id().equals("small")) {
      request = backend.nextRequest();
    }
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }
}
