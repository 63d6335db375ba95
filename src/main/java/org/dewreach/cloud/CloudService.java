package org.dewreach.cloud;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Calls;
import org.dewreach.port.Target;
import org.dewreach.store.RateBudget;
import org.dewreach.wire.Codec;

/** The requests of the cloud. Callers ask {@link #mayCall} first: the rate is small. */
public final class CloudService {
  private static final long TIMEOUT = 5_000_000;

  private final Calls calls;
  private final RateBudget budget;

  public CloudService(Calls calls, double rps) {
    this.calls = calls;
    // Nine tenths of the rate: a follower fetches the catalog now and then.
    this.budget = new RateBudget(rps * 0.9, rps);
  }

  public boolean mayCall(long nowMicros) {
    return budget.available(nowMicros) >= 1;
  }

  public void catalog(long nowMicros, Calls.ReplyHandler handler) {
    budget.take(nowMicros, 1);
    calls.call(Target.CLOUD, "GET", "/catalog", null, TIMEOUT, handler);
  }

  public void rent(
      long nowMicros,
      String request,
      String type,
      String zone,
      boolean spot,
      int count,
      Calls.ReplyHandler handler) {
    budget.take(nowMicros, 1);
    ObjectNode body = Codec.map();
    body.put("hire", request).put("build", type).put("site", zone);
    body.put("loaners", spot).put("count", count);
    calls.call(Target.CLOUD, "POST", "/rentals", body, TIMEOUT, handler);
  }

  public void giveBack(long nowMicros, List<String> machines, Calls.ReplyHandler handler) {
    budget.take(nowMicros, 1);
    ObjectNode body = Codec.map();
    ArrayNode hosts = body.putArray("hosts");
    machines.forEach(hosts::add);
    calls.call(Target.CLOUD, "POST", "/rentals/return", body, TIMEOUT, handler);
  }

  public void list(long nowMicros, String after, Calls.ReplyHandler handler) {
    budget.take(nowMicros, 1);
    String path = "/rentals?" + (after == null ? "" : "after=" + after + "&") + "most=500";
    calls.call(Target.CLOUD, "GET", path, null, TIMEOUT, handler);
  }
}
