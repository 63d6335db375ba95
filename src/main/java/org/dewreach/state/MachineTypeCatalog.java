package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.cloud.CatalogResult;
import org.dewreach.cloud.CloudClient;
import org.dewreach.cloud.CloudFailure;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.ReadResult;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types. The leader asks the cloud and leaves a copy in the state service, so that a
 * node that starts while the cloud is down can still judge submissions.
 */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final long REFRESH_MICROS = 60_000_000;
  private static final long RETRY_MICROS = 2_000_000;

  private final KeyValueStore state;
  private final CloudClient cloud;
  private List<MachineType> types = List.of();
  private boolean asking;
  private boolean triedStore;
  private boolean fromCloud;
  private long nextAsk;

  public MachineTypeCatalog(KeyValueStore state, CloudClient cloud) {
    this.state = state;
    this.cloud = cloud;
  }

  public List<MachineType> types() {
    return types;
  }

  /** The type with the name, or null. */
  public MachineType type(String name) {
    for (MachineType type : types) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  public boolean known() {
    return !types.isEmpty();
  }

  /** True once after the cloud told of types that the copy in the state service lacks. */
  public boolean takeFromCloud() {
    boolean was = fromCloud;
    fromCloud = false;
    return was;
  }

  public void tick(long nowMicros, boolean leading) {
    if (asking || nowMicros < nextAsk || known() && !leading) {
      return;
    }
    asking = true;
    if (!known() && !triedStore) {
      triedStore = true;
      state.get(
          Keys.CATALOG,
          (now, result) -> {
            asking = false;
            if (result instanceof KeyValue found) {
              take(found.value());
              nextAsk = now + (leading ? 500_000 : REFRESH_MICROS);
            } else if (result instanceof ReadResult.Absent) {
              nextAsk = now;
            } else {
              triedStore = false;
              nextAsk = now + 500_000;
            }
          });
      return;
    }
    triedStore = false;
    cloud.readCatalog(
        nowMicros,
        (now, result) -> {
          asking = false;
          if (result instanceof CatalogResult.Catalog catalog) {
            types = catalog.types();
            fromCloud = true;
            nextAsk = now + REFRESH_MICROS;
            return;
          }
          if (result instanceof CloudFailure failure && failure.decodingFailed()) {
            LOG.error("catalog not understood: {}", failure.decodingError());
          }
          nextAsk = now + RETRY_MICROS;
        });
  }

  private boolean take(JsonNode body) {
    try {
      types = MachineType.parseCatalog(body);
      return true;
    } catch (MalformedException e) {
      LOG.error("catalog not understood: {}", e.getMessage());
      return false;
    }
  }
}
