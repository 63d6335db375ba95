package org.dewreach.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.TokenBucket;

/**
 * The client of the cloud's API, with typed requests and results.
 *
 * <p>The cloud allows few requests per second, so callers check {@link #mayCall} first.
 */
public final class CloudClient {
  private static final long TIMEOUT_MICROS = 5_000_000;

  /**
   * The share of the rate limit that the leader uses; the rest is for followers, which read the
   * machine type catalog from time to time.
   */
  private static final double LEADER_SHARE = 0.9;

  /** The number of machines on a page of the list. */
  private static final int PAGE_SIZE = 500;

  private final Outbox outbox;
  private final TokenBucket requestBudget;

  /**
   * Creates a client that keeps to a rate limit.
   *
   * @param requestsPerSecond the rate limit of the cloud
   */
  public CloudClient(Outbox outbox, double requestsPerSecond) {
    this.outbox = outbox;
    this.requestBudget = new TokenBucket(requestsPerSecond * LEADER_SHARE, requestsPerSecond);
  }

  /** True if the rate limit allows a request now. */
  public boolean mayCall(long nowMicros) {
    return requestBudget.available(nowMicros) >= 1;
  }

  /** Reads the machine type catalog. */
  public void readCatalog(long nowMicros, CloudResultHandler<CatalogResult> handler) {
    call(
        nowMicros,
        "GET",
        CloudCodec.CATALOG_PATH,
        null,
        (now, status, body) -> handler.onResult(now, CloudCodec.decodeCatalog(status, body)));
  }

  /** Rents machines. */
  public void rent(
      long nowMicros, RentalRequest request, CloudResultHandler<RentalResult> handler) {
    call(
        nowMicros,
        "POST",
        CloudCodec.RENTALS_PATH,
        CloudCodec.encodeRental(request),
        (now, status, body) -> handler.onResult(now, CloudCodec.decodeRental(status, body)));
  }

  /** Releases machines; all tasks on them end. */
  public void release(
      long nowMicros, List<String> machines, CloudResultHandler<ReleaseResult> handler) {
    call(
        nowMicros,
        "POST",
        CloudCodec.RELEASE_PATH,
        CloudCodec.encodeRelease(machines),
        (now, status, body) -> handler.onResult(now, CloudCodec.decodeRelease(status)));
  }

  /**
   * Reads a page of the list of rented machines.
   *
   * @param afterMachine the last machine of the previous page, or null for the first page
   */
  public void listMachines(
      long nowMicros, String afterMachine, CloudResultHandler<MachineListResult> handler) {
    call(
        nowMicros,
        "GET",
        CloudCodec.listPath(afterMachine, PAGE_SIZE),
        null,
        (now, status, body) -> handler.onResult(now, CloudCodec.decodeList(status, body)));
  }

  private void call(
      long nowMicros, String method, String path, JsonNode body, Outbox.ReplyHandler handler) {
    requestBudget.consume(nowMicros, 1);
    outbox.call(Target.CLOUD, method, path, body, TIMEOUT_MICROS, handler);
  }
}
