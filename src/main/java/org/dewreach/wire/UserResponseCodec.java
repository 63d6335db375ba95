package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes the bodies of responses to users. */
public final class UserResponseCodec {
  private UserResponseCodec() {}

  /** Returns the body's wire form, or null for no body. */
  public static JsonNode encode(UserResponse.Body body) {
    if (body instanceof JobStatus jobStatus) {
      return encode(jobStatus);
    }
    if (body instanceof UserResponse.Error error) {
      return Codec.map().put("error", error.message());
    }
    return body instanceof UserResponse.Relayed relayed ? relayed.tree() : null;
  }

  private static ObjectNode encode(JobStatus jobStatus) {
    ObjectNode map = Codec.map();
    map.put("uid", jobStatus.jobId()).put("standing", jobStatus.jobState().wireName());
    JobStatus.TaskCounts counts = jobStatus.counts();
    if (counts != null) {
      map.put("done", counts.done()).put("running", counts.running());
    }
    return map;
  }
}
