package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Typed access to the fields of a message, so that every check reads the same. */
public final class Fields {
  /** Times on the wire are seconds; inside they are whole microseconds. */
  public static final double MICROS_PER_SECOND = 1e6;

  /** Amounts above this are no amounts of anything real and could overflow sums. */
  private static final double MAX_AMOUNT = 1e9;

  /** Characters of a text; names are far shorter. */
  private static final int MAX_TEXT = 200;

  private Fields() {}

  /** The node as a map; anything else is malformed. */
  public static ObjectNode map(JsonNode node) throws MalformedException {
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw MalformedException.ofMessage("not a map");
  }

  /** A text that is there, not empty and not overly long. */
  public static String text(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isTextual()) {
      throw new MalformedException(name, "text expected");
    }
    String text = value.textValue();
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new MalformedException(name, "empty or too long");
    }
    return text;
  }

  /** As {@link #text}, or null where the field is null or left out. */
  public static String textOrNull(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? null : text(node, name);
  }

  /** A boolean that is there. */
  public static boolean flag(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isBoolean()) {
      throw new MalformedException(name, "true or false expected");
    }
    return value.booleanValue();
  }

  /** An integer between two bounds, both included. */
  public static long count(JsonNode node, String name, long least, long most)
      throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedException(name, "integer expected");
    }
    long count = value.longValue();
    if (count < least || count > most) {
      throw new MalformedException(name, "out of range");
    }
    return count;
  }

  /** A number that is not negative and not absurdly large. */
  public static double amount(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isNumber()) {
      throw new MalformedException(name, "number expected");
    }
    double amount = value.doubleValue();
    if (!(amount >= 0 && amount <= MAX_AMOUNT)) {
      throw new MalformedException(name, "out of range");
    }
    return amount;
  }

  /** A duration given in seconds, as whole microseconds. */
  public static long micros(JsonNode node, String name) throws MalformedException {
    return Math.round(amount(node, name) * MICROS_PER_SECOND);
  }

  /** As {@link #micros}, or -1 where the field is null or left out. */
  public static long microsOrNone(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? -1 : micros(node, name);
  }

  /** True if the field is null or left out. */
  public static boolean absent(JsonNode node, String name) {
    JsonNode value = node.get(name);
    return value == null || value.isNull();
  }
}
