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

/** Reads what earlier leaders left: live jobs, and machines that may have been given commands. */
public final class ClusterStateLoader {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterStateLoader.class);
  private static final int PAGE_SIZE = 200;
  private static final long RETRY_MICROS = 200_000;

  private enum Phase {
    MACHINES(Keys.MACHINE_PAGES),
    JOBS(Keys.JOBS),
    DONE(null);

    final String prefix;

    Phase(String prefix) {
      this.prefix = prefix;
    }
  }

  private final KeyValueStore state;
  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final MachineTypeCatalog catalog;
  private final long wallOffsetMicros;
  private Phase phase = Phase.MACHINES;
  private String after;
  private boolean reading;
  private long readAt;
  private boolean closed;

  public ClusterStateLoader(
      KeyValueStore state,
      ClusterState clusterState,
      MachineRegistry registry,
      MachineTypeCatalog catalog,
      long wallOffsetMicros) {
    this.wallOffsetMicros = wallOffsetMicros;
    this.state = state;
    this.clusterState = clusterState;
    this.registry = registry;
    this.catalog = catalog;
  }

  public boolean done() {
    return phase == Phase.DONE;
  }

  public void close() {
    closed = true;
  }

  public void tick(long nowMicros) {
    if (closed || reading || phase == Phase.DONE || nowMicros < readAt || !catalog.known()) {
      return;
    }
    reading = true;
    state.range(phase.prefix, after, PAGE_SIZE, this::onPage);
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (closed) {
      return;
    }
    reading = false;
    if (!(result instanceof RangePage page)) {
      readAt = nowMicros + RETRY_MICROS;
      return;
    }
    for (KeyValue entry : page.entries()) {
      String key = entry.key();
      try {
        if (phase == Phase.MACHINES) {
          page(key.substring(phase.prefix.length()), entry, nowMicros);
        } else {
          job(entry);
        }
      } catch (MalformedException e) {
        LOG.error("{} not understood, left alone: {}", key, e.getMessage());
      }
      after = key;
    }
    if (!page.more()) {
      after = null;
      phase = Phase.values()[phase.ordinal() + 1];
    }
    tick(nowMicros);
  }

  private void page(String key, KeyValue entry, long nowMicros) throws MalformedException {
    int number;
    try {
      number = Integer.parseInt(key);
    } catch (NumberFormatException e) {
      throw new MalformedException("no number of a page");
    }
    registry.loadedPage(number, entry.revision());
    for (MachineRegistry.Entry saved : MachineRegistry.read(entry.value())) {
      if (!clusterState.machines().containsKey(saved.name())) {
        Machine machine = machine(saved, nowMicros);
        clusterState.add(machine);
        registry.loaded(number, machine);
      }
    }
  }

  private Machine machine(MachineRegistry.Entry saved, long nowMicros) {
    MachineType type = catalog.type(saved.type());
    if (type == null) {
      // Not rented any more: no room to offer, but its tasks are real.
      type = new MachineType(saved.type(), 0, 0, 0, 0, 0, 0, 0, 0, List.of());
    }
    Machine machine =
        new Machine(
            saved.name(),
            "",
            type,
            saved.zone(),
            saved.spot(),
            saved.marked() ? MachinePhase.UNKNOWN : MachinePhase.BOOTING,
            nowMicros);
    machine.recorded(saved.marked());
    machine.knownSince(Math.min(nowMicros, saved.sinceWallMicros() - wallOffsetMicros));
    return machine;
  }

  private void job(KeyValue entry) throws MalformedException {
    JobRecord saved = JobRecord.decode(entry.value());
    Job job =
        new Job(
            saved.spec(),
            saved.acceptedWallMicros(),
            false,
            saved.cancelled() ? JobPhase.CANCELLED : JobPhase.ACTIVE);
    job.record().revision(entry.revision());
    job.restoreProgress(saved.done());
    clusterState.jobs().put(job.id(), job);
  }
}
