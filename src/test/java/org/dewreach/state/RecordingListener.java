package org.dewreach.state;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Job;

/** Records what became durable, and which conflicts were reported. */
final class RecordingListener implements DurabilityListener {
  final List<String> durable = new ArrayList<>();
  final List<String> conflicts = new ArrayList<>();

  @Override
  public void onAccepted(Job job, long nowMicros) {
    durable.add(job.id() + " accepted");
  }

  @Override
  public void onCancelled(Job job, long nowMicros) {
    durable.add(job.id() + " cancelled");
  }

  @Override
  public void onEnded(Job job, long nowMicros) {
    durable.add(job.id() + " ended");
  }

  @Override
  public void onMachinesRegistered(long nowMicros) {
    durable.add("machines registered");
  }

  @Override
  public void onRecordConflict(String reason, long nowMicros) {
    conflicts.add(reason);
  }
}
