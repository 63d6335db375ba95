package org.dewreach.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobState;
import org.junit.jupiter.api.Test;

/** Tests the phases of a job and the counts of its tasks: {@link Job}. */
class JobTest {
  private final Machine machine =
      ClusterFixture.newUpMachine("m1", ClusterFixture.type("box", 8, 32, 0), false);
  private final Job job =
      new Job(JobSpecBuilder.array("req-1").tasks(3).build(), 0, true, JobPhase.PERSISTING);

  private Task bind(int index) {
    Task task = new Task(job, index, 1, machine, TaskPhase.ASSIGNED, 0);
    job.bind(task);
    return task;
  }

  @Test
  void aJobRejectsPhaseTransitionsThatAreNotAllowed() {
    assertThrows(IllegalStateException.class, () -> job.changePhase(JobPhase.CANCEL_REQUESTED));
    job.changePhase(JobPhase.ACTIVE);
    assertThrows(IllegalStateException.class, () -> job.changePhase(JobPhase.PERSISTING));
    assertThrows(IllegalStateException.class, () -> job.changePhase(JobPhase.ENDED));
    job.changePhase(JobPhase.CANCEL_REQUESTED);
    job.changePhase(JobPhase.CANCEL_COMMITTING);
    assertThrows(IllegalStateException.class, () -> job.changePhase(JobPhase.FINALIZING));
    job.changePhase(JobPhase.CANCELLED);
    assertNull(job.finalState());
    job.changePhase(JobPhase.FINALIZING);
    assertEquals(JobState.CANCELLED, job.finalState());
    job.changePhase(JobPhase.ENDED);
  }

  @Test
  void aJobWhoseCancellationIsNotWrittenYetMayStillComplete() {
    job.changePhase(JobPhase.ACTIVE);
    job.changePhase(JobPhase.CANCEL_REQUESTED);
    assertFalse(job.startable());
    assertTrue(job.mayStillComplete());
    job.changePhase(JobPhase.FINALIZING);
    assertEquals(JobState.DONE, job.finalState());
    assertEquals(
        JobState.PENDING, job.jobState(), "not reported as done until the final state is durable");
    job.changePhase(JobPhase.ENDED);
    assertEquals(JobState.DONE, job.jobState());
  }

  @Test
  void aTaskIsPendingUnlessItIsDoneOrBound() {
    Task first = bind(0);
    assertEquals(2, job.pendingCount());
    assertEquals(1, job.nextPending());
    assertTrue(job.markDone(0));
    assertFalse(job.markDone(0), "already marked as done");
    assertEquals(2, job.pendingCount(), "a task that is bound and done is counted once");
    job.unbind(first);
    assertEquals(2, job.pendingCount());
    Task second = bind(1);
    assertEquals(2, job.nextPending());
    job.unbind(second);
    assertEquals(1, job.nextPending());
    assertEquals(2, job.pendingAfter(1));
    assertEquals(-1, job.pendingAfter(2));
  }

  @Test
  void aTaskIsBoundOnce() {
    bind(0);
    assertThrows(IllegalStateException.class, () -> bind(0));
    assertEquals(1, job.boundCountInZone("a"));
  }

  @Test
  void restoredProgressIsDoneAndDurable() {
    BitSet saved = new BitSet();
    saved.set(0, 3);
    job.restoreProgress(saved);
    assertTrue(job.allTasksDone());
    assertEquals(saved, job.storedState().doneTasks());
    assertEquals(-1, job.nextPending());
  }
}
