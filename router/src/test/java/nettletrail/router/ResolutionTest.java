package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;
import org.junit.jupiter.api.Test;

/** To which of a route's services requests go, by the services' weights. */
class ResolutionTest {
  private static final int DRAWS = 1_000;

  @Test
  void eachServiceGetsTheShareOfItsWeight() throws ConfigurationException {
    Map<String, Integer> counts =
        countsOf("{\"carrier\":\"a\",\"share\":90},{\"carrier\":\"b\",\"share\":10}");
    assertEquals(Map.of("a", 900, "b", 100), counts);
  }

  @Test
  void weightsNeedNotAddUpToAHundred() throws ConfigurationException {
    Map<String, Integer> counts =
        countsOf(
            "{\"carrier\":\"a\",\"share\":1},{\"carrier\":\"b\",\"share\":3},"
                + "{\"carrier\":\"c\",\"share\":1}");
    assertEquals(Map.of("a", 200, "b", 600, "c", 200), counts);
  }

  @Test
  void aServiceOfWeightZeroGetsNothingWhereverItStands() throws ConfigurationException {
    Map<String, Integer> counts =
        countsOf(
            "{\"carrier\":\"a\",\"share\":0},{\"carrier\":\"b\",\"share\":5},"
                + "{\"carrier\":\"c\",\"share\":0}");
    assertEquals(Map.of("b", DRAWS), counts);
  }

  private static Map<String, Integer> countsOf(String split) throws ConfigurationException {
    RoutingTable routing = compile(split);
    Map<String, Integer> counts = new TreeMap<>();
    for (int index = 0; index < DRAWS; index++) {
      double draw = (index + 0.5) / DRAWS;
      Resolution resolution = Resolution.of(routing, request(), true, true, draw);
      counts.merge(resolution.service().name(), 1, Integer::sum);
    }
    return counts;
  }

  private static RoutingTable compile(String split) throws ConfigurationException {
    String document =
        """
        {"edition":1,"routes":[{"name":"r","station":"one.example","lane_prefix":"/x/",
         "kind":"resendable","timeout_ms":1000,"split":[SPLIT]}],
         "carriers":[{"name":"a"},{"name":"b"},{"name":"c"}]}
        """
            .replace("SPLIT", split);
    return RouterFixture.table(document);
  }

  private static ClientRequest request() {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x/y");
    request.headers().set(HttpHeaderNames.HOST, "one.example");
    return new ClientRequest(request, "/x/y", 0);
  }
}
