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

/** Reads the fixture files: JSON trees by name, and hexadecimal byte forms. */
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

  /** The text of a file. */
  static String text(String file) {
    return new String(bytes(file), StandardCharsets.UTF_8);
  }

  /** The tree of a JSON file. */
  static ObjectNode file(String file) {
    try {
      return (ObjectNode) JSON.readTree(bytes(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A fresh copy of the tree with the given name. */
  static ObjectNode tree(String file, String name) {
    JsonNode found = file(file).get(name);
    assertNotNull(found, file + ": " + name);
    return (ObjectNode) found;
  }

  /** The bytes of a field of hexadecimal digits. */
  static byte[] hex(String file, String name) {
    JsonNode found = file(file).get(name);
    assertNotNull(found, file + ": " + name);
    return HexFormat.of().parseHex(found.textValue());
  }

  /** A tree from JSON text. */
  static ObjectNode json(String text) {
    try {
      return (ObjectNode) JSON.readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Compares a tree with the fixture of the given name; the order of fields is free, and the
   * counter at the end of a transaction's mark too.
   */
  static void check(String file, String name, JsonNode actual) {
    JsonNode counted = actual == null ? null : withoutCounters(actual.deepCopy());
    assertEquals(file(file).get(name), counted, file + ": " + name);
  }

  private static JsonNode withoutCounters(JsonNode node) {
    if (node instanceof ObjectNode map && map.path("w").isTextual()) {
      map.put("w", map.get("w").textValue().replaceFirst("\\.\\d+$", ".#"));
    }
    node.forEach(Fixtures::withoutCounters);
    return node;
  }

  /** A message as one tree: a method and path, or a status, with the body and Retry-After. */
  static ObjectNode message(ControllerUnderTest.SentCall sent) {
    ObjectNode node = JSON.createObjectNode().put("request", sent.method() + " " + sent.path());
    node.set("body", sent.body());
    return node;
  }

  /** As above, of an answer. */
  static ObjectNode message(ControllerUnderTest.SentResponse answer) {
    ObjectNode node = JSON.createObjectNode().put("status", answer.status());
    if (answer.retryAfterS() > 0) {
      node.put("retryAfter", answer.retryAfterS());
    }
    node.set("body", answer.body());
    return node;
  }
}
