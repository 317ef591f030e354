package nettletrail.tokens;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.SecretFile;
import nettletrail.core.SettingsSection;

/**
 * {@code [tokens]} of the operator file. Times as their keys name them.
 *
 * @param metadataPath where the servers tell the endpoint's path; "" for nowhere
 * @param secretFile the client's secret, or its private JWK for {@link ClientAuth#PRIVATE_KEY_JWT}; "" for none
 * @param assertionAudience the authority, as it names itself
 * @param signedAnswers whether answers must be signed (RFC 9701)
 * @param localJwts whether the issuer's JWTs are checked here
 * @param keysFile the authority's public keys; "" for none
 * @param revocationsListen where revocations are pushed to, or null
 * @param scopes by the class's name
 * @param staleS by the class's name
 */
public record TokensSettings(List<InetSocketAddress> servers, String path, String metadataPath, String clientId, String secretFile, ClientAuth auth,
        String assertionAudience, boolean signedAnswers, boolean localJwts, String keysFile, InetSocketAddress revocationsListen, String realm, String issuer, String audience, String customerClaim, Map<String, String> scopes,
        Map<String, String> staleS, long freshS, long badS, long revokedS, long failedMs, long patienceMs, long reserveMs,
        long skewS, long callMs, long callsPerS, long callsAtOnce, int mostOut, long mostKb, int mostWaiting, int mostAsking, int mostPartPct) {
    /** How this front door proves who it is (RFC 6749 section 2.3.1, RFC 7523). */
    public enum ClientAuth {
        NONE, BASIC, POST, PRIVATE_KEY_JWT;

        static ClientAuth named(String text) {
            return switch (text) {
                case "basic" -> BASIC;
                case "post" -> POST;
                case "private_key_jwt" -> PRIVATE_KEY_JWT;
                default -> throw new IllegalArgumentException("must be \"basic\", \"post\" or \"private_key_jwt\"");
            };
        }
    }

    private static final int MOST_STALE_S = 86_400;

    public TokensSettings {
        servers = List.copyOf(servers);
        scopes = Map.copyOf(scopes);
        staleS = Map.copyOf(staleS);
    }

    /** The section's keys. */
    public static SettingsSection section() {
        return new SettingsSection("tokens",
                "OAuth 2 bearer tokens, asked about at introspection servers (RFC 6750, RFC 7662).")
                .flag("enabled", false, "whether each request needs an active token")
                .text("servers", 0, 4_096, "127.0.0.1:8090", "introspection servers, as \"IP:PORT,IP:PORT\"")
                .text("path", 1, 1_024, "/introspect", "path of the introspection endpoint there")
                .text("metadata_path", 0, 1_024, "", "where the servers tell that path, as /.well-known/oauth-authorization-server"
                        + " (RFC 8414), asked every 10 min; \"\" for nowhere")
                .text("client_id", 0, 256, "", "by which this front door is known there; \"\" for none")
                .text("client_secret_file", 0, 1_024, "", "file with its secret (for private_key_jwt its private JWK), for this"
                        + " user only; \"\" for none")
                .text("client_auth", 4, 15, "basic", "how it proves it: \"basic\" (in the head), \"post\" (in the form) or"
                        + " \"private_key_jwt\" (signed for each call)")
                .text("assertion_audience", 0, 1_024, "", "the authority as it names itself, for private_key_jwt")
                .flag("signed_answers", false, "whether answers are asked for signed, and unsigned ones are none (RFC 9701)")
                .flag("local_jwts", false, "whether JWTs of the issuer are checked here instead of asked about (RFC 9068); good until"
                        + " their end unless their revocation is pushed")
                .text("authority_keys_file", 0, 1_024, "", "file with the authority's public keys (a JWK set), read again when it"
                        + " changes; \"\" for none")
                .address("revocations_listen", "", "where the authority pushes what it revoked (RFC 8935)")
                .text("realm", 1, 64, "gateway", "that challenges name")
                .text("issuer", 0, 1_024, "", "that a token must be of; \"\" for any")
                .text("audience", 0, 1_024, "", "that a token must be for; \"\" for any")
                .text("customer_claim", 0, 64, "", "member of the answer that must equal X-Customer; \"\" for no check")
                .text("scopes", 0, 4_096, "", "scope that a class needs, as \"order-submit=orders:write\"; \"\" for none")
                .text("stale", 0, 4_096, "", "s for which an answer that is no longer fresh may stand in for a slow server, by"
                        + " class, as \"order-status=30\"; \"\" for none")
                .integer("fresh_s", 1, 3_600, 30, "s for which a good answer is good")
                .integer("bad_s", 1, 3_600, 5, "s for which a bad one is")
                .integer("revoked_s", 1, 86_400, 300, "s for which a token told revoked is not asked about")
                .integer("failed_ms", 10, 60_000, 250, "ms after which a token is asked about again when a call failed")
                .integer("patience_ms", 0, 60_000, 100, "ms that a request waits where a stale answer may stand in")
                .integer("reserve_ms", 1, 60_000, 300, "ms of its time that a request needs for itself")
                .integer("skew_s", 0, 300, 30, "s by which the issuer's clock may differ")
                .integer("call_ms", 100, 5_000, 4_000, "ms after which a call has failed, whoever still waits")
                .integer("calls_per_s", 1, 100_000, 200, "calls a second for one customer's requests")
                .integer("calls_at_once", 1, 100_000, 400, "calls at once for one customer's requests")
                .integer("most_out", 1, 10_000, 64, "calls out at once")
                .integer("most_kb", 64, 1_048_576, 8_192, "KiB for what is known of tokens")
                .integer("most_waiting", 1, 1_000_000, 4_096,
                        "requests that wait at once; beyond, they are told to come again")
                .integer("most_asking", 1, 1_000_000, 1_024, "tokens asked about at once; beyond, the same")
                .integer("most_part_pct", 1, 100, 25, "percent of both that one customer's requests take at most");
    }

    /** Rules between the values. */
    public static void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        if (!values.flag("enabled")) {
            return;
        }
        faulty(faults, "servers", () -> addresses(values.text("servers")));
        faulty(faults, "scopes", () -> byClass(values.text("scopes"), "CLASS=SCOPE, as order-submit=orders:write"));
        faulty(faults, "stale", () -> byClass(values.text("stale"), "CLASS=SECONDS, as order-status=30").values()
                .forEach(TokensSettings::seconds));
        String auth = values.text("client_auth");
        faulty(faults, "client_auth", () -> ClientAuth.named(auth));
        if (auth.equals("private_key_jwt") && values.text("assertion_audience").isEmpty()) {
            faults.accept(new SettingsSection.Fault("assertion_audience",
                    "must name the authority where client_auth is private_key_jwt"));
        }
        if (values.flag("local_jwts") && values.text("issuer").isEmpty()) {
            faults.accept(new SettingsSection.Fault("issuer",
                    "must name whose JWTs are checked here where local_jwts is true"));
        }
        boolean needsKeys = values.flag("signed_answers") || values.flag("local_jwts") || !values.text("revocations_listen").isEmpty();
        if (needsKeys && values.text("authority_keys_file").isEmpty()) {
            faults.accept(new SettingsSection.Fault("authority_keys_file",
                    "must be there if signed_answers, local_jwts or revocations_listen is"));
        }
        if (!values.text("path").startsWith("/") || !values.text("path").chars().allMatch(each -> each > ' ' && each < 127)) {
            faults.accept(new SettingsSection.Fault("path", "must begin with / and have no spaces, as /introspect"));
        }
        if (!values.text("metadata_path").isEmpty() && (!values.text("metadata_path").startsWith("/")
                || values.text("issuer").isEmpty())) {
            faults.accept(new SettingsSection.Fault("metadata_path",
                    "must begin with /, and issuer must name who is believed"));
        }
        if (values.text("realm").chars().anyMatch(each -> each < ' ' || each > 126 || each == '"' || each == '\\')) {
            faults.accept(new SettingsSection.Fault("realm", "must be printable ASCII without quotes and backslashes"));
        }
        if (values.integer("revoked_s") * 1_000 <= values.integer("call_ms")) {
            faults.accept(new SettingsSection.Fault("revoked_s",
                    "must be longer than call_ms, or an answer made before the revocation"
                    + " could count again"));
        }
        if (values.text("client_id").isEmpty() != values.text("client_secret_file").isEmpty()) {
            faults.accept(new SettingsSection.Fault("client_secret_file",
                    "must be there if client_id is, and only then"));
        } else if (auth.equals("private_key_jwt") && !values.text("client_secret_file").isEmpty()) {
            faulty(faults, "client_secret_file", () -> ClientAssertion.make(values.text("client_secret_file"), "check", "check", 0));
        } else if (!values.text("client_secret_file").isEmpty()) {
            faulty(faults, "client_secret_file", () -> SecretFile.read(values.text("client_secret_file")));
        }
        if (!values.text("authority_keys_file").isEmpty()) {
            faulty(faults, "authority_keys_file", () -> new TrustedKeys(Path.of(values.text("authority_keys_file"))));
        }
    }

    private interface Reading {
        void read() throws IOException;
    }

    private static void faulty(Consumer<SettingsSection.Fault> faults, String key, Reading reading) {
        try {
            reading.read();
        } catch (IllegalArgumentException | IOException e) {
            faults.accept(new SettingsSection.Fault(key, e.getMessage()));
        }
    }

    public static TokensSettings of(SettingsSection.Values values) {
        return new TokensSettings(addresses(values.text("servers")), values.text("path"), values.text("metadata_path"), values.text("client_id"),
                values.text("client_secret_file"), values.text("client_id").isEmpty() ? ClientAuth.NONE
                        : ClientAuth.named(values.text("client_auth")), values.text("assertion_audience"),
                values.flag("signed_answers"), values.flag("local_jwts"), values.text("authority_keys_file"),
                Endpoint.parseAddress(values.text("revocations_listen")), values.text("realm"),
                values.text("issuer"), values.text("audience"), values.text("customer_claim"),
                byClass(values.text("scopes"), ""), byClass(values.text("stale"), ""), values.integer("fresh_s"),
                values.integer("bad_s"), values.integer("revoked_s"), values.integer("failed_ms"),
                        values.integer("patience_ms"),
                values.integer("reserve_ms"), values.integer("skew_s"), values.integer("call_ms"),
                        values.integer("calls_per_s"),
                values.integer("calls_at_once"), (int) values.integer("most_out"), values.integer("most_kb"),
                (int) values.integer("most_waiting"), (int) values.integer("most_asking"),
                (int) values.integer("most_part_pct"));
    }

    private static List<InetSocketAddress> addresses(String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            InetSocketAddress address = Endpoint.parseAddress(part.strip());
            if (address == null || addresses.contains(address)) {
                throw new IllegalArgumentException(address == null ? "has '" + part.strip() + "'; write IP:PORT,IP:PORT"
                        : "names " + part.strip() + " twice; name it once");
            }
            addresses.add(address);
        }
        return addresses;
    }

    private static Map<String, String> byClass(String text, String form) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            String[] sides = part.strip().split("=", 2);
            if (sides.length != 2 || sides[0].isBlank() || sides[1].isBlank()) {
                throw new IllegalArgumentException("has '" + part.strip() + "'; write " + form);
            }
            if (values.put(sides[0].strip(), sides[1].strip()) != null) {
                throw new IllegalArgumentException("names the class " + sides[0].strip() + " twice; name it once");
            }
        }
        return values;
    }

    static int seconds(String text) {
        try {
            int seconds = Integer.parseInt(text);
            if (seconds >= 0 && seconds <= MOST_STALE_S) {
                return seconds;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("has '" + text + "'; write whole seconds from 0 to " + MOST_STALE_S, e);
        }
        throw new IllegalArgumentException("has '" + text + "'; write whole seconds from 0 to " + MOST_STALE_S);
    }
}
