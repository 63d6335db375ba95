package org.dewreach.cloud;

/**
 * The failure of a request: no response came, the cloud did not serve the request, or the response
 * does not conform to the protocol.
 *
 * @param status the HTTP status, or 0 if no response came
 * @param decodingError why the body of a successful response is malformed, or null
 */
public record CloudFailure(int status, String decodingError)
    implements CatalogResult, MachineListResult, ReleaseResult {

  /** Returns the failure of a request that was not served. */
  static CloudFailure ofStatus(int status) {
    return new CloudFailure(status, null);
  }

  /** True if the cloud served the request, but its response could not be decoded. */
  public boolean decodingFailed() {
    return decodingError != null;
  }
}
