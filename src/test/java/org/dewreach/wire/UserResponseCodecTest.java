package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Tests the bodies of responses to users, including the order of their fields. */
class UserResponseCodecTest {
  private static String encoded(UserResponse response) {
    return UserResponseCodec.encode(response.body()).toString();
  }

  @Test
  void responsesToSubmissionsAndCancellationsHaveTheState() {
    JobStatus accepted = JobStatus.withoutCounts("req-1", JobState.PENDING);
    assertEquals(
        "{\"uid\":\"req-1\",\"standing\":\"pending\"}", encoded(UserResponse.created(accepted)));
    JobStatus cancelled = JobStatus.withoutCounts("req-1", JobState.CANCELLED);
    assertEquals(
        "{\"uid\":\"req-1\",\"standing\":\"withdrawn\"}", encoded(UserResponse.ok(cancelled)));
  }

  @Test
  void responsesToQueriesAlsoHaveTaskCounts() {
    JobStatus jobStatus = JobStatus.withCounts("req-1", JobState.RUNNING, 2, 0);
    assertEquals(
        "{\"uid\":\"req-1\",\"standing\":\"running\",\"done\":2,\"running\":0}",
        encoded(UserResponse.ok(jobStatus)));
  }

  @Test
  void rejectionsNameTheError() {
    assertEquals("{\"error\":\"uid: no\"}", encoded(UserResponse.rejected(422, "uid: no")));
  }

  @Test
  void relayedBodiesStayAsTheyAre() {
    ObjectNode body = Codec.map().put("later_field", 1);
    assertSame(body, UserResponseCodec.encode(new UserResponse.Relayed(body)));
  }

  @Test
  void responsesWithoutABodyHaveNone() {
    assertNull(UserResponseCodec.encode(UserResponse.unavailable(1).body()));
  }
}
