package org.dewreach.cloud;

/**
 * A request that has no result: no response came, the cloud did not serve it, or its response does
 * not follow the protocol.
 *
 * @param status the HTTP status, or 0 if no response came
 * @param decodingError what is wrong with the body of a request that was served, or null
 */
public record CloudFailure(int status, String decodingError)
    implements CatalogResult, MachineListResult, ReleaseResult {

  /** The failure of a request that was not served. */
  static CloudFailure ofStatus(int status) {
    return new CloudFailure(status, null);
  }

  /** True if the cloud served the request and its response could not be decoded. */
  public boolean decodingFailed() {
    return decodingError != null;
  }
}
