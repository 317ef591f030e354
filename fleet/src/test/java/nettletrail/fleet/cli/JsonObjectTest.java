package nettletrail.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.jsoniter.spi.JsonException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectTest {
  private static JsonObject parse(String json) {
    return JsonObject.parse(json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void fieldsAreWrittenInTheOrderOfTheirAddition() {
    JsonObject object =
        new JsonObject()
            .put("z", "text")
            .put("a", 7)
            .put("m", true)
            .putTexts("texts", List.of("x", "y"))
            .putObjects("objects", List.of(new JsonObject().put("k", 1)));
    assertEquals(
        "{\"z\":\"text\",\"a\":7,\"m\":true,\"texts\":[\"x\",\"y\"],\"objects\":[{\"k\":1}]}",
        object.toString());
  }

  @Test
  void parsedFieldsKeepTheirOrderAndNumbers() {
    String json = "{\"z\":1.50,\"a\":null,\"list\":[\"x\",{\"k\":false}]}";
    JsonObject object = parse(json);
    assertEquals(List.of("z", "a", "list"), object.names());
    assertEquals(List.of("1.50", "", "[x, {k=false}]"), object.texts());
    assertEquals(json, object.toString());
  }

  @Test
  void objectsOfAnArrayAreReadOrReported() {
    JsonObject object = parse("{\"rows\":[{\"a\":1},{\"a\":2}],\"texts\":[\"x\"],\"core\":\"c\"}");
    List<JsonObject> rows = object.objects("rows");
    assertEquals(2, rows.size());
    assertEquals("{\"core\":\"c\",\"a\":2}", object.only("core").putAll(rows.get(1)).toString());
    assertThrows(JsonException.class, () -> object.objects("texts"));
    assertThrows(JsonException.class, () -> object.objects("core"));
    assertThrows(JsonException.class, () -> object.objects("absent"));
  }

  @Test
  void arrayIsNotAnObject() {
    assertThrows(JsonException.class, () -> parse("[1]"));
  }
}
