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
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Converts CBOR bodies to JSON trees and back. Trees take less time at start-up than classes bound
 * to the messages, and start-up uses the controller's small CPU share.
 */
public final class Codec {
  /** The protocol's messages are flat; deep nesting would be an attack on the stack. */
  private static final int MAX_DEPTH = 32;

  /** The maximum number of digits of a decimal fraction, before or after the decimal point. */
  private static final int MAX_DECIMAL_DIGITS = 400;

  private static final ObjectMapper CBOR =
      new ObjectMapper(
              CBORFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Codec() {}

  /** Returns the size of the value's JSON form, in which the protocol counts size limits. */
  public static int jsonBytes(JsonNode value) {
    return value.toString().getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Decodes a body.
   *
   * @throws IOException if the body is not CBOR, is nested too deeply, or has a value that cannot
   *     be encoded again
   */
  public static JsonNode read(byte[] body) throws IOException {
    return normalize(CBOR.readTree(body));
  }

  /**
   * Returns the tree with decimal fractions as doubles, and rejects values that other encodings
   * cannot represent or whose conversion to a number takes long.
   *
   * <p>Guards against a single body that ends each controller it reaches: integers beyond 64 bits,
   * decimal fractions with a huge exponent and unpaired surrogates can be decoded, but fail when
   * they are forwarded or stored.
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
        throw new IOException("integer exceeds 64 bits");
      }
    } else if (node instanceof DecimalNode) {
      BigDecimal value = node.decimalValue();
      if (Math.abs((long) value.scale()) > MAX_DECIMAL_DIGITS
          || value.precision() > MAX_DECIMAL_DIGITS) {
        throw new IOException("decimal fraction has too many digits");
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
          throw new IOException("text has an unpaired surrogate");
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
      throw new IllegalStateException("a JSON tree cannot be encoded", e);
    }
  }

  /** Returns a new empty map for a body or a part of one. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }
}
