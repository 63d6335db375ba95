package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.job.Job;
import org.dewreach.job.JobPhase;
import org.dewreach.job.JobRecord;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.store.Keys;
import org.dewreach.store.StateService;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads what earlier leaders left: live jobs, and machines that may have been given commands. */
final class Loader {
  private static final Logger LOG = LoggerFactory.getLogger(Loader.class);
  private static final int PAGE = 200;
  private static final long RETRY = 200_000;

  private enum Phase {
    MACHINES,
    JOBS,
    DONE
  }

  private final StateService state;
  private final Books books;
  private final CatalogKeeper catalog;
  private Phase phase = Phase.MACHINES;
  private String after;
  private boolean reading;
  private long readAt;
  private boolean closed;

  Loader(StateService state, Books books, CatalogKeeper catalog) {
    this.state = state;
    this.books = books;
    this.catalog = catalog;
  }

  boolean done() {
    return phase == Phase.DONE;
  }

  void close() {
    closed = true;
  }

  void tick(long nowMicros) {
    if (closed || reading || phase == Phase.DONE || nowMicros < readAt || !catalog.known()) {
      return;
    }
    reading = true;
    String prefix = phase == Phase.MACHINES ? Keys.MACHINES : Keys.JOBS;
    state.range(prefix, after, PAGE, this::onPage);
  }

  private void onPage(long nowMicros, int status, JsonNode body) {
    if (closed) {
      return;
    }
    reading = false;
    if (status != 200) {
      readAt = nowMicros + RETRY;
      return;
    }
    for (JsonNode entry : body.path("entries")) {
      String key = entry.path("path").asText();
      try {
        if (phase == Phase.MACHINES) {
          machine(key.substring(Keys.MACHINES.length()), entry.path("data"), nowMicros);
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
      phase = phase == Phase.MACHINES ? Phase.JOBS : Phase.DONE;
    }
    tick(nowMicros);
  }

  private void machine(String name, JsonNode data, long nowMicros) {
    String typeName = data.path("type").asText();
    MachineType type = catalog.type(typeName);
    if (type == null) {
      // Not rented any more: no room to offer, but its tasks are real.
      type = new MachineType(typeName, 0, 0, 0, 0, 0, 0, 0, 0, java.util.List.of());
    }
    Machine machine =
        new Machine(
            name,
            data.path("address").asText(),
            type,
            data.path("zone").asText(),
            data.path("spot").asBoolean(),
            MachinePhase.UNHEARD,
            nowMicros);
    machine.recorded(true);
    books.add(machine);
  }

  private void job(JsonNode entry) throws MalformedException {
    JobRecord saved = JobRecord.decode(entry.path("data"));
    Job job =
        new Job(
            saved.spec(),
            saved.acceptedWallMicros(),
            false,
            saved.withdrawn() ? JobPhase.WITHDRAWN : JobPhase.LIVE);
    job.stamp(entry.path("stamp").asLong());
    job.done().or(saved.done());
    job.durable((java.util.BitSet) saved.done().clone());
    books.jobs().put(job.id(), job);
  }
}
