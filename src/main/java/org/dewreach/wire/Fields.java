package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Typed and checked access to the fields of a message, with the same error texts everywhere. */
public final class Fields {
  /** Converts durations in seconds on the wire to the whole microseconds used internally. */
  public static final double MICROS_PER_SECOND = 1e6;

  /** Larger amounts are not plausible for any resource and could overflow sums. */
  private static final double MAX_AMOUNT = 1e9;

  /** The maximum number of characters of a text; names are far shorter. */
  private static final int MAX_TEXT_LENGTH = 200;

  private Fields() {}

  /** Returns the node as a map; any other node is malformed. */
  public static ObjectNode map(JsonNode node) throws MalformedException {
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw MalformedException.ofMessage("not a map");
  }

  /** Returns a required text, which is neither empty nor too long. */
  public static String text(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isTextual()) {
      throw new MalformedException(name, "text expected");
    }
    String text = value.textValue();
    if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      throw new MalformedException(name, "empty or too long");
    }
    return text;
  }

  /** Returns the same as {@link #text}, or null if the field is null or missing. */
  public static String textOrNull(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? null : text(node, name);
  }

  /** Returns a required boolean. */
  public static boolean flag(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isBoolean()) {
      throw new MalformedException(name, "true or false expected");
    }
    return value.booleanValue();
  }

  /** Returns a required integer between two bounds, both inclusive. */
  public static long count(JsonNode node, String name, long min, long max)
      throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedException(name, "integer expected");
    }
    long count = value.longValue();
    if (count < min || count > max) {
      throw new MalformedException(name, "out of range");
    }
    return count;
  }

  /** Returns a required number from 0 to {@link #MAX_AMOUNT}. */
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

  /** Returns a required duration, given in seconds, in whole microseconds. */
  public static long micros(JsonNode node, String name) throws MalformedException {
    return Math.round(amount(node, name) * MICROS_PER_SECOND);
  }

  /** Returns the same as {@link #micros}, or -1 if the field is null or missing. */
  public static long microsOrNone(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? -1 : micros(node, name);
  }

  /** True if the field is null or missing. */
  public static boolean absent(JsonNode node, String name) {
    JsonNode value = node.get(name);
    return value == null || value.isNull();
  }
}
