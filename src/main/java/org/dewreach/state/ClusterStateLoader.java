package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
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
    MACHINES(Keys.MACHINES),
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

  private void onPage(long nowMicros, int status, JsonNode body) {
    if (closed) {
      return;
    }
    reading = false;
    if (status != 200) {
      readAt = nowMicros + RETRY_MICROS;
      return;
    }
    for (JsonNode entry : body.path("entries")) {
      String key = entry.path("path").asText();
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
    if (!body.path("more").asBoolean(false) || body.path("entries").isEmpty()) {
      after = null;
      phase = Phase.values()[phase.ordinal() + 1];
    }
    tick(nowMicros);
  }

  private void page(String key, JsonNode entry, long nowMicros) throws MalformedException {
    int number;
    try {
      number = Integer.parseInt(key);
    } catch (NumberFormatException e) {
      throw new MalformedException("no number of a page");
    }
    registry.loadedPage(number, entry.path("stamp").asLong());
    for (MachineRegistry.Entry saved : MachineRegistry.read(entry.path("data"))) {
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

  private void job(JsonNode entry) throws MalformedException {
    JobRecord saved = JobRecord.decode(entry.path("data"));
    Job job =
        new Job(
            saved.spec(),
            saved.acceptedWallMicros(),
            false,
            saved.cancelled() ? JobPhase.CANCELLED : JobPhase.ACTIVE);
    job.revision(entry.path("stamp").asLong());
    job.restoreProgress(saved.done());
    clusterState.jobs().put(job.id(), job);
  }
}
