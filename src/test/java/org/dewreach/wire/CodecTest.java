package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.HexFormat;
import org.dewreach.peer.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that decoded bodies can be forwarded to another controller and stored in the key-value
 * store.
 */
class CodecTest {
  private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

  /**
   * Guards against a body that crashes each controller that receives it: the body can be decoded,
   * but not encoded again.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        // {"x": -2^64}, {"x": 2^72}, {"x": [1e100000000]}, {"x": unpaired surrogate}, and an
        // unpaired surrogate as a field name
        "a161783bffffffffffffffff",
        "a16178c249010000000000000000",
        "a1617881c4821a05f5e10001",
        "a1617863eda080",
        "a163eda08001"
      })
  void rejectsValuesThatCannotBeEncodedAgain(String hex) {
    assertThrows(IOException.class, () -> Codec.read(HexFormat.of().parseHex(hex)));
  }

  @Test
  void decodedBodiesCanBeEncodedAgain() throws Exception {
    var body = Codec.map().put("big", BigInteger.ONE.shiftLeft(64).subtract(BigInteger.ONE));
    body.put("least", Long.MIN_VALUE)
        .put("amount", new BigDecimal("4.25"))
        .put("text", "\ud83d\ude00");
    body.put("nan", Double.NaN).putArray("list").add(new BigDecimal("1e-300")).addNull();
    JsonNode read = Codec.read(CBOR.writeValueAsBytes(body));
    assertEquals(4.25, read.path("amount").doubleValue());
    assertEquals(body.path("big"), read.path("big"));
    assertEquals(
        "\ud83d\ude00",
        MessagePackCodec.read(MessagePackCodec.write(read)).path("text").textValue());
    assertEquals(read, Codec.read(Codec.write(read)));
  }
}
