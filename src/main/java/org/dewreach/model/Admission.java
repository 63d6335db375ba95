package org.dewreach.model;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * Checks whether a job can ever run. A submission of a job that cannot is rejected with status 422.
 */
public final class Admission {
  /** Absorbs floating-point rounding when resource amounts are compared. */
  private static final double AMOUNT_TOLERANCE = 1e-9;

  private Admission() {}

  /** Returns the reason why the job can never run, worded for its user, or null if it can run. */
  public static String rejectionReason(
      JobSpec spec, Map<String, Settings.Team> teams, List<MachineType> catalog) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return "unknown team";
    }
    if (exceedsLimit(spec, team)) {
      return "more than the team's limit";
    }
    Set<String> zones = possibleZones(spec, catalog);
    if (zones.isEmpty()) {
      return "fits no allowed machine type";
    }
    boolean multipleTasks = spec.tasks() > 1;
    if (spec.spreadZones() && multipleTasks && (spec.sameZone() || zones.size() < 2)) {
      return "cannot be spread over zones";
    }
    return null;
  }

  /**
   * True if the tasks that must run at the same time need more than the team's limit. The tasks of
   * an array can run one after another.
   */
  private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
    int parallelTasks = spec.jobKind() == JobKind.ARRAY ? 1 : spec.tasks();
    return spec.cpus() * parallelTasks > team.cpuQuota() + AMOUNT_TOLERANCE
        || spec.gpus() * parallelTasks > team.gpuQuota() + AMOUNT_TOLERANCE;
  }

  /**
   * Returns the zones that the job may run in: those that offer an allowed machine type on which a
   * task fits.
   */
  private static Set<String> possibleZones(JobSpec spec, List<MachineType> catalog) {
    Set<String> zones = new HashSet<>();
    for (MachineType type : catalog) {
      if (fits(spec, type)) {
        zones.addAll(type.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(Set.of(spec.zone()));
    }
    return zones;
  }

  /**
   * True if the job allows the machine type and a task of the job fits on an empty machine of it.
   */
  public static boolean fits(JobSpec spec, MachineType type) {
    return (spec.types() == null || spec.types().contains(type.name()))
        && spec.cpus() <= type.cpus() + AMOUNT_TOLERANCE
        && spec.gpus() <= type.gpus() + AMOUNT_TOLERANCE
        && spec.memoryGb() <= type.memoryGb() + AMOUNT_TOLERANCE;
  }
}
