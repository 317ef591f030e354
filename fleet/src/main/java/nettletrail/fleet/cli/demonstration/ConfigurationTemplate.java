package nettletrail.fleet.cli.demonstration;

/** The configuration of a demonstration, and its changes. */
final class ConfigurationTemplate {
  static final String HOST = "models.example";
  static final String MODEL_SERVICE = "language-model";
  static final String CHAT_SERVICE = "chat-relay";
  static final int REQUEST_TIMEOUT_MS = 4_000;
  static final int BACKEND_SLOTS = 16;

  static final long FIRST_EDITION = 1;
  static final long EDITION_WITHOUT_KEY = 2;
  static final long LAST_EDITION = 3;

  private ConfigurationTemplate() {}

  /** The first configuration. */
  static String first() {
    return """
        {"edition":%d,
         "routes":[
          {"name":"summary","station":"%2$s","lane_prefix":"/summary/","kind":"serial",
           "timeout_ms":%3$d,"target_ms":600,"priority":0,"carrier":"language-model","attempts":2,
           "sticky":true,"resume":true,"gap_aim_ms":300},
          {"name":"lookup","station":"%2$s","lane_prefix":"/lookup/","kind":"serial",
           "timeout_ms":%3$d,"target_ms":800,"priority":1,"carrier":"language-model","attempts":2,
           "sticky":true,"resume":false,"gap_aim_ms":300},
          {"name":"chat","station":"%2$s","lane_prefix":"/chat/","kind":"single_send",
           "timeout_ms":%3$d,"target_ms":200,"priority":1,"carrier":"chat-relay","attempts":2},
          {"name":"status","station":"%2$s","lane_prefix":"/status/","kind":"resendable",
           "timeout_ms":%3$d,"target_ms":200,"priority":2,"carrier":"chat-relay","attempts":2}],
         "carriers":[
          {"name":"language-model","health_path":"/health","conn_cap":200,"protocol":"h1",
           "tls":false,
           "engine":{"berths":%4$d,"kv_token_room":100000,"stride":5,
            "models":[{"name":"m"}]}},
          {"name":"chat-relay","health_path":"/health","conn_cap":200,"protocol":"h1",
           "tls":false}],
         "limits":{"header_bytes":16384,"body_bytes":1048576,"header_ms":3000,"idle_ms":15000},
         "senders":[
          {"name":"north","passes":["north-key-1"],"priority":0,"unit":"token_count",
           "plain_tokens":20,"rate_per_s":50000,"burst":50000},
          %5$s]}
        """
        .formatted(
            FIRST_EDITION,
            HOST,
            REQUEST_TIMEOUT_MS,
            BACKEND_SLOTS,
            south("\"south-key-1\",\"south-key-2\""));
  }

  /** A patch that revokes one of the two keys of a tenant. */
  static String withoutKey() {
    return """
        {"edition":%d,"deliver":{"senders":[%s]}}
        """
        .formatted(EDITION_WITHOUT_KEY, south("\"south-key-1\""));
  }

  /** A patch that changes the priority of a route, for the end of the demonstration. */
  static String last() {
    return """
        {"edition":%d,"deliver":{"routes":[
          {"name":"status","station":"%s","lane_prefix":"/status/","kind":"resendable",
           "timeout_ms":%d,"target_ms":300,"priority":1,"carrier":"chat-relay","attempts":2}]}}
        """
        .formatted(LAST_EDITION, HOST, REQUEST_TIMEOUT_MS);
  }

  private static String south(String keys) {
    return """
        {"name":"south","passes":[%s],"priority":1,"unit":"token_count",
         "plain_tokens":20,"rate_per_s":50000,"burst":50000}"""
        .formatted(keys);
  }
}
