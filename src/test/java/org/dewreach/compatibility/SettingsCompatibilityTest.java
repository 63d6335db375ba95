package org.dewreach.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dewreach.config.Settings;
import org.dewreach.config.SettingsReader;
import org.dewreach.script.ScriptReader;
import org.junit.jupiter.api.Test;

/**
 * Every field of a settings file and every name of a script.
 *
 * <p>The values are compared in the order of the records' components, without the components'
 * names, which may change.
 */
class SettingsCompatibilityTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Records as lists of their values, maps by sorted key, kinds by their words, numbers as is. */
  private static Object plain(Object value) throws ReflectiveOperationException {
    if (value instanceof Record) {
      List<Object> values = new ArrayList<>();
      for (RecordComponent component : value.getClass().getRecordComponents()) {
        values.add(plain(component.getAccessor().invoke(value)));
      }
      return values;
    }
    if (value instanceof Settings.ObjectiveKind kind) {
      return kind.configName();
    }
    if (value instanceof List<?> list) {
      List<Object> values = new ArrayList<>();
      for (Object item : list) {
        values.add(plain(item));
      }
      return values;
    }
    if (value instanceof Map<?, ?> map) {
      Map<String, Object> values = new TreeMap<>();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        values.put(entry.getKey().toString(), plain(entry.getValue()));
      }
      return values;
    }
    return value instanceof Double number && number.isInfinite() ? "none" : value;
  }

  private static JsonNode tree(Object value) throws Exception {
    return JsonNodeFactory.instance
        .objectNode()
        .set("values", JSON.readTree(JSON.writeValueAsBytes(plain(value))));
  }

  @Test
  void everyFieldOfASettingsFile() throws Exception {
    JsonNode read = tree(SettingsReader.parse(Fixtures.text("complete-settings.toml")));
    Fixtures.check("settings.json", "complete settings", read);
  }

  @Test
  void everyNameOfAScript() throws Exception {
    JsonNode read = tree(ScriptReader.parse(Fixtures.text("complete-script.lua")));
    Fixtures.check("settings.json", "complete script", read);
  }

  @Test
  void theDefaultsOfAScript() throws Exception {
    Fixtures.check("settings.json", "empty script", tree(ScriptReader.parse("return {}")));
  }

  /** Fields that other versions may add are passed over. */
  @Test
  void unknownFieldsOfASettingsFile() throws Exception {
    String text = Fixtures.text("complete-settings.toml");
    String more = "added = 1\n" + text.replace("[external]", "[external]\nadded = \"x\"");
    assertEquals(tree(SettingsReader.parse(text)), tree(SettingsReader.parse(more)));
  }
}
