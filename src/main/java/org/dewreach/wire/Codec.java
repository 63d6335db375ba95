package org.dewreach.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BigIntegerNode;
import com.fasterxml.jackson.databind.node.DecimalNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Map;

/**
 * CBOR bodies to trees and back. Trees start faster than bound classes, and starting is charged.
 */
public final class Codec {
  /** The protocol's messages are flat; deeper ones are attacks on the stack. */
  private static final int MAX_DEPTH = 32;

  /** Digits of a decimal fraction, before and after the point. A default of this project. */
  private static final int MAX_SCALE = 400;

  private static final ObjectMapper CBOR =
      new ObjectMapper(
              CBORFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Codec() {}

  /**
   * Decodes a body.
   *
   * @throws IOException if it is not CBOR, nested too deeply, or holds a value that cannot be
   *     passed on
   */
  public static JsonNode read(byte[] body) throws IOException {
    return normalize(CBOR.readTree(body));
  }

  /**
   * The tree with nothing in it that another coding cannot carry, or that takes long to turn into a
   * number.
   *
   * <p>Guards against a single body that ends each node it reaches: integers beyond 64 bits,
   * decimal fractions with a huge exponent and unpaired surrogates decode, and fail when they are
   * passed on or written.
   */
  private static JsonNode normalize(JsonNode node) throws IOException {
    if (node instanceof ObjectNode map) {
      for (Map.Entry<String, JsonNode> field : map.properties()) {
        checkText(field.getKey());
        JsonNode value = normalize(field.getValue());
        if (value != field.getValue()) {
          field.setValue(value);
        }
      }
    } else if (node instanceof ArrayNode list) {
      for (int i = 0; i < list.size(); i++) {
        JsonNode value = normalize(list.get(i));
        if (value != list.get(i)) {
          list.set(i, value);
        }
      }
    } else if (node instanceof TextNode) {
      checkText(node.textValue());
    } else if (node instanceof BigIntegerNode) {
      BigInteger value = node.bigIntegerValue();
      if (value.signum() < 0 || value.bitLength() > Long.SIZE) {
        throw new IOException("an integer beyond 64 bits");
      }
    } else if (node instanceof DecimalNode) {
      BigDecimal value = node.decimalValue();
      if (Math.abs((long) value.scale()) > MAX_SCALE || value.precision() > MAX_SCALE) {
        throw new IOException("a decimal fraction beyond all amounts");
      }
      return DoubleNode.valueOf(value.doubleValue());
    }
    return node;
  }

  private static void checkText(String text) throws IOException {
    for (int i = 0; i < text.length(); i++) {
      if (Character.isSurrogate(text.charAt(i))) {
        boolean pair =
            i + 1 < text.length() && Character.isSurrogatePair(text.charAt(i), text.charAt(i + 1));
        if (!pair) {
          throw new IOException("an unpaired surrogate");
        }
        i++;
      }
    }
  }

  /** Encodes a body. */
  public static byte[] write(JsonNode body) {
    try {
      return CBOR.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values always encodes", e);
    }
  }

  /** An empty map, to be filled as a body or a part of one. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }
}
