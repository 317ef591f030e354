package nettletrail.app;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import nettletrail.core.Endpoint;
import picocli.CommandLine.Option;

/** Options that name a running front door, and the way to its {@code [control]} address. */
final class RunningDoor {
    private static final int TIMEOUT_MS = 5_000;

    @Option(names = "--at", paramLabel = "IP:PORT", description = "Where it answers ([control] listen).")
    private String at;
    @Option(names = "--operator", paramLabel = "FILE", description = "Its operator file, which names that address.")
    private Path file;

    /**
     * Its answer.
     *
     * @throws IOException if there is none; the message says what to do
     */
    Map<String, Object> ask(String path, Map<String, String> asked) throws IOException, OperatorFile.Unusable {
        String text = at != null ? at : file != null ? OperatorFile.read(file).section("control").text("listen") : "";
        InetSocketAddress address = Endpoint.parseAddress(text);
        if (address == null) {
            throw new IOException("name a running front door with --at IP:PORT, or with --operator FILE whose [control]"
                    + " has a listen address");
        }
        String query = asked.entrySet().stream().map(each -> each.getKey() + "="
                + URLEncoder.encode(each.getValue(), StandardCharsets.UTF_8)).collect(Collectors.joining("&"));
        HttpURLConnection call = (HttpURLConnection) URI.create("http://" + text + "/" + path
                + (query.isEmpty() ? "" : "?" + query)).toURL().openConnection();
        call.setConnectTimeout(TIMEOUT_MS);
        call.setReadTimeout(TIMEOUT_MS);
        int status;
        try {
            status = call.getResponseCode();
        } catch (IOException e) {
            throw new IOException("no front door answers at " + text + " (" + e.getMessage()
                    + "); is it running, with this address in [control]?", e);
        }
        try (InputStream body = status == HttpURLConnection.HTTP_OK ? call.getInputStream() : call.getErrorStream()) {
            Map<String, Object> told = JSON.std.mapFrom(body.readAllBytes());
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException(String.valueOf(told.get("sorry")));
            }
            return told;
        }
    }
}
