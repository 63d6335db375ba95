package org.dewreach.model;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/** Decides whether a job can ever run; a submission that cannot is answered with 422. */
public final class Admission {
  private static final double AMOUNT_TOLERANCE = 1e-9;

  private Admission() {}

  /** Why the job can never run, in a word to its user; null if it can. */
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
    boolean several = spec.tasks() > 1;
    if (spec.spreadZones() && several && (spec.sameZone() || zones.size() < 2)) {
      return "cannot be spread over zones";
    }
    return null;
  }

  /** True if the tasks that have to run at the same time take more than the team may have. */
  private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
    int parallelTasks = spec.jobKind() == JobKind.ARRAY ? 1 : spec.tasks();
    return spec.cpus() * parallelTasks > team.cpusMax() + AMOUNT_TOLERANCE
        || spec.gpus() * parallelTasks > team.gpusMax() + AMOUNT_TOLERANCE;
  }

  /** The zones in which the job's owner allows a machine type that a task fits on. */
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

  /** True if a task of the job may run on an empty machine of the type. */
  public static boolean fits(JobSpec spec, MachineType type) {
    return (spec.types() == null || spec.types().contains(type.name()))
        && spec.cpus() <= type.cpus() + AMOUNT_TOLERANCE
        && spec.gpus() <= type.gpus() + AMOUNT_TOLERANCE
        && spec.memoryGb() <= type.memoryGb() + AMOUNT_TOLERANCE;
  }
}
