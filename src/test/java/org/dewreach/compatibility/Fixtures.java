package org.dewreach.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** Reads fixture files, which contain named JSON trees or hexadecimal encodings. */
final class Fixtures {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Fixtures() {}

  private static byte[] bytes(String file) {
    try (InputStream in = Fixtures.class.getResourceAsStream("/compatibility/" + file)) {
      assertNotNull(in, file);
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the text of a file. */
  static String text(String file) {
    return new String(bytes(file), StandardCharsets.UTF_8);
  }

  /** Returns the tree of a JSON file. */
  static ObjectNode file(String file) {
    try {
      return (ObjectNode) JSON.readTree(bytes(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a new copy of the tree with the given name. */
  static ObjectNode tree(String file, String name) {
    JsonNode found = file(file).get(name);
    assertNotNull(found, file + ": " + name);
    return (ObjectNode) found;
  }

  /** Returns the bytes of a field with hexadecimal digits. */
  static byte[] hex(String file, String name) {
    JsonNode found = file(file).get(name);
    assertNotNull(found, file + ": " + name);
    return HexFormat.of().parseHex(found.textValue());
  }

  /** Returns the tree of a JSON text. */
  static ObjectNode json(String text) {
    try {
      return (ObjectNode) JSON.readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Asserts that a tree equals the fixture with the given name. Ignores the order of fields, and
   * the counter at the end of a transaction id (field w).
   */
  static void check(String file, String name, JsonNode actual) {
    JsonNode normalized = actual == null ? null : withoutCounters(actual.deepCopy());
    assertEquals(file(file).get(name), normalized, file + ": " + name);
  }

  private static JsonNode withoutCounters(JsonNode node) {
    if (node instanceof ObjectNode map && map.path("w").isTextual()) {
      map.put("w", map.get("w").textValue().replaceFirst("\\.\\d+$", ".#"));
    }
    node.forEach(Fixtures::withoutCounters);
    return node;
  }

  /** Returns a call as one tree: its method and path, and its body. */
  static ObjectNode message(ControllerUnderTest.SentCall sent) {
    ObjectNode node = JSON.createObjectNode().put("request", sent.method() + " " + sent.path());
    node.set("body", sent.body());
    return node;
  }

  /** Returns a response as one tree: its status, Retry-After header if any, and body. */
  static ObjectNode message(ControllerUnderTest.SentResponse response) {
    ObjectNode node = JSON.createObjectNode().put("status", response.status());
    if (response.retryAfterS() > 0) {
      node.put("retryAfter", response.retryAfterS());
    }
    node.set("body", response.body());
    return node;
  }
}
