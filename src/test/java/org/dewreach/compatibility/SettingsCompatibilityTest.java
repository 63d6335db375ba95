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
 * Tests the fields of the settings file and the names of the operators' script.
 *
 * <p>Values are compared in the order of the record components, without the names of the
 * components, which may change.
 */
class SettingsCompatibilityTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Converts records to lists of their values, maps to maps sorted by key, and objective kinds to
   * their words; numbers stay as they are.
   */
  private static Object toPlainValue(Object value) throws ReflectiveOperationException {
    if (value instanceof Record) {
      List<Object> values = new ArrayList<>();
      for (RecordComponent component : value.getClass().getRecordComponents()) {
        values.add(toPlainValue(component.getAccessor().invoke(value)));
      }
      return values;
    }
    if (value instanceof Settings.ObjectiveKind kind) {
      return kind.configName();
    }
    if (value instanceof List<?> list) {
      List<Object> values = new ArrayList<>();
      for (Object item : list) {
        values.add(toPlainValue(item));
      }
      return values;
    }
    if (value instanceof Map<?, ?> map) {
      Map<String, Object> values = new TreeMap<>();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        values.put(entry.getKey().toString(), toPlainValue(entry.getValue()));
      }
      return values;
    }
    return value instanceof Double number && number.isInfinite() ? "none" : value;
  }

  private static JsonNode toTree(Object value) throws Exception {
    return JsonNodeFactory.instance
        .objectNode()
        .set("values", JSON.readTree(JSON.writeValueAsBytes(toPlainValue(value))));
  }

  @Test
  void parsesEverySettingsField() throws Exception {
    JsonNode read = toTree(SettingsReader.parse(Fixtures.text("complete-settings.toml")));
    Fixtures.check("settings.json", "complete settings", read);
  }

  @Test
  void parsesEveryScriptName() throws Exception {
    JsonNode read = toTree(ScriptReader.parse(Fixtures.text("complete-script.lua")));
    Fixtures.check("settings.json", "complete script", read);
  }

  @Test
  void emptyScriptGetsDefaults() throws Exception {
    Fixtures.check("settings.json", "empty script", toTree(ScriptReader.parse("return {}")));
  }

  /** Fields that other versions may add are ignored. */
  @Test
  void unknownSettingsFieldsAreIgnored() throws Exception {
    String text = Fixtures.text("complete-settings.toml");
    String more = "added = 1\n" + text.replace("[external]", "[external]\nadded = \"x\"");
    assertEquals(toTree(SettingsReader.parse(text)), toTree(SettingsReader.parse(more)));
  }
}
