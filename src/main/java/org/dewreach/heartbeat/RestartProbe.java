package org.dewreach.heartbeat;

import java.util.function.BooleanSupplier;
import org.dewreach.model.Machine;
import org.dewreach.model.RestartCheck;
import org.dewreach.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects whether a worker restarted under the same name and lost its state. */
final class RestartProbe {
  private static final Logger LOG = LoggerFactory.getLogger(RestartProbe.class);

  private final WorkerClient workers;
  private final BooleanSupplier closed;

  /**
   * Creates a probe for one term.
   *
   * @param closed returns true once the term is over
   */
  RestartProbe(WorkerClient workers, BooleanSupplier closed) {
    this.workers = workers;
    this.closed = closed;
  }

  /**
   * Requests a machine's sequence number, after a heartbeat with an older one and no token.
   *
   * <p>Such a heartbeat is a late copy of the machine's first, or the first of a worker that
   * restarted under the same name. The latter would execute a late copy of a direct start again; so
   * the tasks that were bound there stay bound until the machine is released, which is done at
   * once.
   */
  void probe(Machine machine) {
    if (machine.heartbeats().restartCheck() != RestartCheck.NONE) {
      return;
    }
    machine.heartbeats().restartCheck(RestartCheck.CHECKING);
    long incarnation = machine.heartbeats().incarnation();
    long sequence = machine.heartbeats().sequence();
    workers.readState(machine, (now, reply) -> onReply(machine, incarnation, sequence, reply));
  }

  private void onReply(Machine machine, long incarnation, long sequence, WorkerReply reply) {
    if (closed.getAsBoolean()) {
      return;
    }
    if (reply instanceof WorkerReply.State state) {
      boolean older = isOlder(state.heartbeat(), incarnation, sequence);
      machine.heartbeats().restartCheck(older ? RestartCheck.CONFIRMED : RestartCheck.NONE);
    } else {
      // The machine stays suspect, and is not probed again in this term.
      LOG.info("restart probe failed: machine={} reply={}", machine.name(), reply);
    }
  }

  private static boolean isOlder(Heartbeat heartbeat, long incarnation, long sequence) {
    return heartbeat.incarnation() < incarnation
        || heartbeat.incarnation() == incarnation && heartbeat.sequence() < sequence;
  }
}
