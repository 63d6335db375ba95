package org.dewreach.testing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MachineType;

/**
 * A cloud client and a machine type catalog of one type; the test answers the calls to the cloud.
 */
public final class CloudFixture {
  private static final double REQUESTS_PER_SECOND = 100;

  private final Outbox outbox = new Outbox();
  private final CloudClient cloud = new CloudClient(outbox, REQUESTS_PER_SECOND);
  private final MachineTypeCatalog catalog =
      new MachineTypeCatalog(new KeyValueStore(outbox), cloud);

  /** Creates a cloud client whose catalog with the given type was read at time 0. */
  public CloudFixture(MachineType type) {
    catalog.tick(0, true);
    reply(calls().get(0), HttpStatus.NOT_FOUND, null);
    catalog.tick(0, true);
    reply(calls().get(0), HttpStatus.OK, MachineType.catalogNode(List.of(type)));
  }

  /** Returns the cloud client. */
  public CloudClient cloud() {
    return cloud;
  }

  /** Returns the machine type catalog. */
  public MachineTypeCatalog catalog() {
    return catalog;
  }

  /** Returns the calls made since the last invocation. */
  public List<Effect.Call> calls() {
    return outbox.drain().stream().map(Effect.Call.class::cast).toList();
  }

  /** Responds to a call at time 0. */
  public void reply(Effect.Call call, int status, JsonNode body) {
    reply(0, call, status, body);
  }

  /** Responds to a call at the given time. */
  public void reply(long nowMicros, Effect.Call call, int status, JsonNode body) {
    outbox.reply(nowMicros, new Event.Reply(call.callId(), status, body));
  }
}
