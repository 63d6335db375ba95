package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests the error texts for malformed messages, in responses to users and in logs. */
class MalformedExceptionTest {
  @Test
  void theMessageNamesTheFieldAndTheProblem() {
    MalformedException error =
        assertThrows(
            MalformedException.class, () -> JobSpec.parse(Codec.map().put("uid", "elsewhere")));
    assertEquals("uid", error.field());
    assertEquals("not a job id", error.problem());
    assertEquals("uid: not a job id", error.getMessage());
  }

  @Test
  void theErrorOfAMessageThatIsNotAMapHasNoField() {
    MalformedException error = assertThrows(MalformedException.class, () -> JobSpec.parse(null));
    assertNull(error.field());
    assertEquals("not a map", error.getMessage());
  }
}
