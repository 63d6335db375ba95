package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a submission as it was received. It is parsed only where the job is not known yet: a
 * repeat of a known job is answered with its status, whatever its body says.
 *
 * @param body the decoded body, or null if there was none or it could not be decoded
 */
public record JobSubmission(JsonNode body) {

  /** The job's id, or null if the body has no valid one. */
  public String jobIdOrNull() {
    JsonNode id = body == null ? null : body.get("uid");
    boolean valid = id != null && id.isTextual() && JobSpec.isId(id.textValue());
    return valid ? id.textValue() : null;
  }

  /**
   * Parses the job.
   *
   * @throws MalformedException if a field is missing, of the wrong type or out of range
   */
  public JobSpec parseSpec() throws MalformedException {
    return JobSpec.parse(body);
  }
}
