package org.dewreach.cloud;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.Codec;

/** The requests of the cloud. Callers ask {@link #mayCall} first: the rate is small. */
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
   * @param rps requests that the cloud takes in a second
   */
  public CloudClient(Outbox outbox, double rps) {
    this.outbox = outbox;
    this.budget = new TokenBucket(rps * LEADER_SHARE, rps);
  }

  /** True if the rate allows a request now. */
  public boolean mayCall(long nowMicros) {
    return budget.available(nowMicros) >= 1;
  }

  /** Reads the catalog. */
  public void catalog(long nowMicros, Outbox.ReplyHandler handler) {
    budget.consume(nowMicros, 1);
    outbox.call(Target.CLOUD, "GET", "/catalog", null, TIMEOUT_MICROS, handler);
  }

  /**
   * Rents machines.
   *
   * @param request the name of the request: repeated, it rents nothing more
   */
  public void rent(
      long nowMicros,
      String request,
      String type,
      String zone,
      boolean spot,
      int count,
      Outbox.ReplyHandler handler) {
    budget.consume(nowMicros, 1);
    ObjectNode body = Codec.map();
    body.put("hire", request).put("build", type).put("site", zone);
    body.put("loaners", spot).put("count", count);
    outbox.call(Target.CLOUD, "POST", "/rentals", body, TIMEOUT_MICROS, handler);
  }

  /** Returns machines. */
  public void release(long nowMicros, List<String> machines, Outbox.ReplyHandler handler) {
    budget.consume(nowMicros, 1);
    ObjectNode body = Codec.map();
    ArrayNode hosts = body.putArray("hosts");
    machines.forEach(hosts::add);
    outbox.call(Target.CLOUD, "POST", "/rentals/return", body, TIMEOUT_MICROS, handler);
  }

  /**
   * Reads a page of the machine list.
   *
   * @param after the last machine of the page before, or null
   */
  public void list(long nowMicros, String after, Outbox.ReplyHandler handler) {
    budget.consume(nowMicros, 1);
    String path = "/rentals?" + (after == null ? "" : "after=" + after + "&") + "most=" + PAGE_SIZE;
    outbox.call(Target.CLOUD, "GET", path, null, TIMEOUT_MICROS, handler);
  }
}
