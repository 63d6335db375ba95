package org.dewreach.state;

import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.RangePage;
import org.dewreach.store.RangeResult;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the records that earlier leaders stored: first the registered machines, then the jobs that
 * have not ended.
 */
public final class ClusterStateLoader {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterStateLoader.class);
  private static final int PAGE_SIZE = 200;
  private static final long RETRY_DELAY_MICROS = 200_000;

  private enum Phase {
    MACHINES(Keys.MACHINE_PAGES),
    JOBS(Keys.JOBS),
    DONE(null);

    final String keyPrefix;

    Phase(String keyPrefix) {
      this.keyPrefix = keyPrefix;
    }

    Phase next() {
      return values()[ordinal() + 1];
    }
  }

  private final KeyValueStore store;
  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final MachineTypeCatalog catalog;
  private final long wallOffsetMicros;
  private final StoredMachines storedMachines = new StoredMachines();
  private Phase phase = Phase.MACHINES;
  private String lastKey;
  private boolean reading;
  private long nextReadAt;
  private boolean closed;

  /**
   * Creates a loader for a new term.
   *
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public ClusterStateLoader(
      KeyValueStore store,
      ClusterState clusterState,
      MachineRegistry registry,
      MachineTypeCatalog catalog,
      long wallOffsetMicros) {
    this.wallOffsetMicros = wallOffsetMicros;
    this.store = store;
    this.clusterState = clusterState;
    this.registry = registry;
    this.catalog = catalog;
  }

  /** True once all records are loaded. */
  public boolean done() {
    return phase == Phase.DONE;
  }

  /** Ignores all later responses, because the term is over. */
  public void close() {
    closed = true;
  }

  /** Reads the next page of records if a read is due. */
  public void tick(long nowMicros) {
    if (closed || reading || done() || nowMicros < nextReadAt || !catalog.known()) {
      return;
    }
    reading = true;
    store.range(phase.keyPrefix, lastKey, PAGE_SIZE, this::onPage);
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (closed) {
      return;
    }
    reading = false;
    if (!(result instanceof RangePage page)) {
      nextReadAt = nowMicros + RETRY_DELAY_MICROS;
      return;
    }
    for (KeyValue entry : page.entries()) {
      load(entry);
      lastKey = entry.key();
    }
    if (!page.more()) {
      onLastPage(nowMicros);
    }
    tick(nowMicros);
  }

  private void onLastPage(long nowMicros) {
    if (phase == Phase.MACHINES) {
      restoreMachines(nowMicros);
    }
    lastKey = null;
    phase = phase.next();
  }

  private void load(KeyValue entry) {
    try {
      if (phase == Phase.MACHINES) {
        loadMachines(entry);
      } else {
        loadJob(entry);
      }
    } catch (MalformedException e) {
      LOG.error("record malformed, skipped: key={} cause=\"{}\"", entry.key(), e.getMessage());
    }
  }

  private void loadMachines(KeyValue entry) throws MalformedException {
    int pageNumber = pageNumber(entry.key());
    registry.restorePage(pageNumber, entry.revision());
    for (MachinePageRecord.Entry stored : MachinePageRecord.decode(entry.value()).entries()) {
      storedMachines.add(pageNumber, stored);
    }
  }

  private void restoreMachines(long nowMicros) {
    storedMachines.forEach(
        (pageNumber, stored) -> {
          Machine machine = restore(stored, nowMicros);
          clusterState.addMachine(machine);
          registry.restoreMachine(pageNumber, machine);
        });
    for (StoredMachines.Overlap overlap : storedMachines.overlaps()) {
      registry.resolveOverlap(overlap.outdatedPage(), overlap.owningPage(), nowMicros);
    }
  }

  private static int pageNumber(String key) throws MalformedException {
    try {
      return Integer.parseInt(key.substring(Keys.MACHINE_PAGES.length()));
    } catch (NumberFormatException e) {
      throw new MalformedException("key", "not a page number");
    }
  }

  private Machine restore(MachinePageRecord.Entry stored, long nowMicros) {
    MachineType type = catalog.type(stored.type());
    if (type == null) {
      // The type is no longer offered. Without capacity nothing is placed on the machine, but the
      // tasks that run there still count.
      type = new MachineType(stored.type(), 0, 0, 0, 0, 0, 0, 0, 0, List.of());
    }
    Machine machine =
        new Machine(
            stored.name(),
            "",
            type,
            stored.zone(),
            stored.spot(),
            stored.commandable() ? MachinePhase.UNKNOWN : MachinePhase.BOOTING,
            nowMicros);
    machine.commandable(stored.commandable());
    machine.knownSince(Math.min(nowMicros, stored.knownSinceWallMicros() - wallOffsetMicros));
    return machine;
  }

  private void loadJob(KeyValue entry) throws MalformedException {
    JobRecord stored = JobRecord.decode(entry.value());
    Job job =
        new Job(
            stored.spec(),
            stored.acceptedWallMicros(),
            false,
            stored.cancelled() ? JobPhase.CANCELLED : JobPhase.ACTIVE);
    job.storedState().revision(entry.revision());
    job.restoreProgress(stored.done());
    clusterState.addJob(job);
  }
}
