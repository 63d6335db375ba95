package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a submission as it was received. It is parsed only if the job is not known yet: the
 * response to a repeated submission of a known job is its status, whatever the body contains.
 *
 * @param body the decoded body, or null if there was none or it could not be decoded
 */
public record JobSubmission(JsonNode body) {

  /** Returns the job's id, or null if the body has no valid one. */
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
