package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Typed access to the fields of a message, so that every check reads the same. */
public final class Fields {
  /** Amounts above this are no amounts of anything real and could overflow sums. */
  private static final double MOST_AMOUNT = 1e9;

  private static final int MOST_TEXT = 200;

  private Fields() {}

  public static ObjectNode map(JsonNode node) throws MalformedException {
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw new MalformedException("not a map");
  }

  public static String text(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isTextual()) {
      throw new MalformedException(name + ": text expected");
    }
    String text = value.textValue();
    if (text.isEmpty() || text.length() > MOST_TEXT) {
      throw new MalformedException(name + ": empty or too long");
    }
    return text;
  }

  public static String textOrNull(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? null : text(node, name);
  }

  public static boolean flag(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isBoolean()) {
      throw new MalformedException(name + ": true or false expected");
    }
    return value.booleanValue();
  }

  public static long count(JsonNode node, String name, long least, long most)
      throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedException(name + ": integer expected");
    }
    long count = value.longValue();
    if (count < least || count > most) {
      throw new MalformedException(name + ": out of range");
    }
    return count;
  }

  public static double amount(JsonNode node, String name) throws MalformedException {
    JsonNode value = node.get(name);
    if (value == null || !value.isNumber()) {
      throw new MalformedException(name + ": number expected");
    }
    double amount = value.doubleValue();
    if (!(amount >= 0 && amount <= MOST_AMOUNT)) {
      throw new MalformedException(name + ": out of range");
    }
    return amount;
  }

  /** A duration given in seconds, as whole microseconds. */
  public static long micros(JsonNode node, String name) throws MalformedException {
    return Math.round(amount(node, name) * 1e6);
  }

  /** As {@link #micros}, or -1 where the field is null or left out. */
  public static long microsOrNone(JsonNode node, String name) throws MalformedException {
    return absent(node, name) ? -1 : micros(node, name);
  }

  public static boolean absent(JsonNode node, String name) {
    JsonNode value = node.get(name);
    return value == null || value.isNull();
  }
}
