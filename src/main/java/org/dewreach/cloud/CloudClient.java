package org.dewreach.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.TokenBucket;

/**
 * Client of the cloud's API: typed requests and results.
 *
 * <p>The cloud allows few requests per second, so callers ask {@link #mayCall} first.
 */
public final class CloudClient {
  private static final long TIMEOUT_MICROS = 5_000_000;

  /** Part of the rate that the leader uses: a follower fetches the catalog now and then. */
  private static final double LEADER_SHARE = 0.9;

  /** Machines on a page of the list. */
  private static final int PAGE_SIZE = 500;

  private final Outbox outbox;
  private final TokenBucket budget;

  /**
   * A client within a rate.
   *
   * @param requestsPerSecond what the cloud allows
   */
  public CloudClient(Outbox outbox, double requestsPerSecond) {
    this.outbox = outbox;
    this.budget = new TokenBucket(requestsPerSecond * LEADER_SHARE, requestsPerSecond);
  }

  /** True if the rate allows a request now. */
  public boolean mayCall(long nowMicros) {
    return budget.available(nowMicros) >= 1;
  }

  /** Reads the catalog of machine types. */
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

  /** Releases machines, with everything that runs on them. */
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
   * Reads a page of the list of the machines that are rented.
   *
   * @param afterMachine the last machine of the page before, or null for the first page
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
    budget.consume(nowMicros, 1);
    outbox.call(Target.CLOUD, method, path, body, TIMEOUT_MICROS, handler);
  }
}
