package nettletrail.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import org.junit.jupiter.api.Test;

class SiteBackendTest {
    private static int ask(SiteBackend backend, String id) throws IOException {
        HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + backend.address().getPort()
                + "/api/port?plan=mini&customer=1&units=1").toURL().openConnection();
        call.setReadTimeout(5_000);
        call.setRequestProperty("X-Txn", id);
        return call.getResponseCode();
    }

    /** One that was killed and has started again answers: its connections aren't those of the life before. */
    @Test
    void oneThatStartsAgainServesAgain() throws IOException {
        try (Site site = new Site(SiteSettings.usual(1), 1, new SiteBackend.Machine(1, 4, 1), 3)) {
            SiteBackend backend = site.backends().get(0);
            assertEquals(200, ask(backend, "1"));
            site.crash(backend);
            assertThrows(IOException.class, () -> ask(backend, "2"));
            site.restart(backend);
            assertEquals(200, ask(backend, "3"));
        }
    }
}
