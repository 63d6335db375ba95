package org.dewreach.state;

import java.util.List;
import org.dewreach.cloud.CatalogResult;
import org.dewreach.cloud.CloudClient;
import org.dewreach.cloud.CloudFailure;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.ReadResult;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The catalog of the machine types that the cloud offers.
 *
 * <p>The leader requests the types from the cloud and stores a copy in the key-value store, so that
 * a controller that starts during an outage of the cloud can still check submissions.
 */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final long REFRESH_INTERVAL_MICROS = 60_000_000;
  private static final long CLOUD_RETRY_DELAY_MICROS = 2_000_000;
  private static final long STORE_RETRY_DELAY_MICROS = 500_000;

  private final KeyValueStore store;
  private final CloudClient cloud;
  private List<MachineType> types = List.of();
  private boolean requestInFlight;
  private boolean storeTried;
  private boolean storedCopyOutdated;
  private long nextRequestAt;

  /** Creates a catalog without types. */
  public MachineTypeCatalog(KeyValueStore store, CloudClient cloud) {
    this.store = store;
    this.cloud = cloud;
  }

  /** Returns all types, or an empty list until they are known. */
  public List<MachineType> types() {
    return types;
  }

  /** Returns the type with the name, or null if there is none. */
  public MachineType type(String name) {
    for (MachineType type : types) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  /** True once the types are known. */
  public boolean known() {
    return !types.isEmpty();
  }

  /**
   * Writes the copy in the key-value store if the types were received from the cloud since the last
   * call.
   */
  public void saveIfRefreshed(CommitQueue queue, long nowMicros) {
    if (!storedCopyOutdated) {
      return;
    }
    storedCopyOutdated = false;
    queue.offer(
        nowMicros,
        new ConditionalWrite(
            List.of(),
            List.of(Mutation.put(Keys.CATALOG, CatalogRecord.encode(types))),
            ConditionalWrite.Urgency.DEFERRABLE,
            (now, outcome, revision) -> {
              if (outcome == ConditionalWrite.Outcome.REJECTED) {
                LOG.warn("catalog not stored: types={}", types.size());
              }
            }));
  }

  /**
   * Requests the types if a request is due: first the stored copy, then the types from the cloud.
   *
   * @param leading true if this controller is the leader, which keeps the types up to date
   */
  public void tick(long nowMicros, boolean leading) {
    if (requestInFlight || nowMicros < nextRequestAt || known() && !leading) {
      return;
    }
    requestInFlight = true;
    if (!known() && !storeTried) {
      storeTried = true;
      store.get(Keys.CATALOG, (now, result) -> onStoredCopy(now, result, leading));
    } else {
      storeTried = false;
      cloud.readCatalog(nowMicros, this::onCloudResult);
    }
  }

  private void onStoredCopy(long nowMicros, ReadResult result, boolean leading) {
    requestInFlight = false;
    if (result instanceof KeyValue entry) {
      decodeStoredCopy(entry);
      nextRequestAt = nowMicros + (leading ? STORE_RETRY_DELAY_MICROS : REFRESH_INTERVAL_MICROS);
    } else if (result instanceof ReadResult.Absent) {
      nextRequestAt = nowMicros;
    } else {
      storeTried = false;
      nextRequestAt = nowMicros + STORE_RETRY_DELAY_MICROS;
    }
  }

  private void decodeStoredCopy(KeyValue entry) {
    try {
      types = CatalogRecord.decode(entry.value());
    } catch (MalformedException e) {
      LOG.error("catalog malformed: source=store cause=\"{}\"", e.getMessage());
    }
  }

  private void onCloudResult(long nowMicros, CatalogResult result) {
    requestInFlight = false;
    if (result instanceof CatalogResult.Catalog catalog) {
      types = catalog.types();
      storedCopyOutdated = true;
      nextRequestAt = nowMicros + REFRESH_INTERVAL_MICROS;
      return;
    }
    if (result instanceof CloudFailure failure && failure.decodingFailed()) {
      LOG.error("catalog malformed: source=cloud cause=\"{}\"", failure.decodingError());
    }
    nextRequestAt = nowMicros + CLOUD_RETRY_DELAY_MICROS;
  }
}
