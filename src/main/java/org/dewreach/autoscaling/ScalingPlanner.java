package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.dewreach.model.Admission;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * Chooses what to rent: the tasks that fit nowhere are first fitted, by the same rule, on machines
 * that are still booting; for the rest the cheapest kind for the queue's own mix is taken.
 */
public final class ScalingPlanner {
  private static final double EPS = 1e-9;
  private static final long FIRST_PAUSE_MICROS = 8_000_000;
  private static final long MAX_PAUSE_MICROS = 40_000_000;
  private static final int MAX_AT_ONCE = 50;
  private static final double MICROS_PER_SECOND = 1e6;

  /** A machine that takes longer than twice its boot time and this is overdue. */
  private static final long BOOT_MARGIN_MICROS = 10_000_000;

  /**
   * Time over which what a machine costs until it is of use is spread. A default of this project.
   */
  private static final double STARTUP_COST_SPREAD_S = 120;

  /**
   * What a machine that comes too late for the tasks counts for, against one in time. A default of
   * this project.
   */
  private static final double LATE_COST = 2;

  /** A kind of machine that can be asked for. */
  public record Kind(MachineType type, String zone, boolean spot) {
    /** The price of one such machine. */
    public double price() {
      return spot ? type.spotPrice() : type.price();
    }
  }

  /**
   * A need: so many tasks of a job's size.
   *
   * @param slackMicros how long their start can wait without making them late
   * @param boundInZone the job's tasks that are bound to machines already, by zone
   */
  public record Need(JobSpec spec, int tasks, long slackMicros, Map<String, Integer> boundInZone) {

    /** A need of a job without bound tasks. */
    public Need(JobSpec spec, int tasks, long slackMicros) {
      this(spec, tasks, slackMicros, Map.of());
    }

    private Need and(Need other) {
      int sum = tasks + other.tasks;
      double mean = ((double) slackMicros * tasks + (double) other.slackMicros * other.tasks) / sum;
      return new Need(spec, sum, Math.round(mean), Map.of());
    }

    private boolean sharesZone() {
      return spec.sameZone() && spec.tasks() > 1;
    }

    private boolean spreadsOverZones() {
      return spec.spreadZones() && spec.tasks() > 1;
    }

    /** Needs with the same key fit on the same machines and are planned as one. */
    private String groupKey() {
      String likeness = SortFirstFit.equivalenceKey(spec);
      // Which zones are left depends on the job's own tasks.
      return sharesZone() || spreadsOverZones() ? likeness + "|" + spec.id() : likeness;
    }
  }

  /** A request to the cloud. */
  public record Rental(Kind kind, int count) {}

  /** A machine to come, with the room that is left on it. */
  private record Coming(Kind kind, FreeCapacity freeCapacity) {
    Coming(Kind kind) {
      this(kind, FreeCapacity.of(kind.type()));
    }

    /** Takes room for as many tasks as fit and may be in its zone, and tells how many. */
    int take(JobSpec spec, int most, ZoneAllowance allowance) {
      int taken = freeCapacity.take(spec, Math.min(most, allowance.in(kind.zone())));
      allowance.use(kind.zone(), taken);
      return taken;
    }
  }

  private final Map<Kind, long[]> refusals = new HashMap<>();

  /** The cloud had none of this kind: ask again later, each time later. */
  public void refused(Kind kind, long nowMicros) {
    long[] entry = refusals.computeIfAbsent(key(kind), k -> new long[2]);
    entry[1] = Math.min(MAX_PAUSE_MICROS, Math.max(FIRST_PAUSE_MICROS, entry[1] * 2));
    entry[0] = nowMicros + entry[1];
  }

  /** The cloud had some of this kind. */
  public void granted(Kind kind) {
    refusals.remove(key(kind));
  }

  /** Prices move; what was refused is told by name, zone and kind. */
  private static Kind key(Kind kind) {
    MachineType type = kind.type();
    return new Kind(
        new MachineType(type.name(), 0, 0, 0, 0, 0, 0, 0, 0, List.of()), kind.zone(), kind.spot());
  }

  private boolean available(Kind kind, long nowMicros) {
    long[] entry = refusals.get(key(kind));
    return entry == null || entry[0] <= nowMicros;
  }

  /** Needs of the same size, with the images that they fetch and their sizes. */
  private record Group(Need need, Map<String, Double> images) {
    double meanImageGb() {
      return images.values().stream().mapToDouble(Double::doubleValue).sum() / images.size();
    }
  }

  /** What can be asked for now. */
  private record Market(List<MachineType> catalog, boolean ordinaryForAll, long nowMicros) {}

  /** The machines that one plan counts on and asks for. */
  private static final class Draft {
    final List<Coming> freeCapacities = new ArrayList<>();
    final Map<Kind, Integer> wanted = new LinkedHashMap<>();

    /** A copy of what concerns one zone, to try a job there. */
    Draft copyOf(String zone) {
      Draft copy = new Draft();
      for (Coming coming : freeCapacities) {
        if (coming.kind.zone().equals(zone)) {
          copy.freeCapacities.add(new Coming(coming.kind, coming.freeCapacity.copy()));
        }
      }
      copy.wanted.putAll(wanted);
      return copy;
    }

    double price() {
      double sum = 0;
      for (Map.Entry<Kind, Integer> entry : wanted.entrySet()) {
        sum += entry.getKey().price() * entry.getValue();
      }
      return sum;
    }

    List<Rental> rentals() {
      List<Rental> rentals = new ArrayList<>();
      wanted.forEach((kind, count) -> rentals.add(new Rental(kind, count)));
      return rentals;
    }
  }

  /**
   * What to ask for now.
   *
   * @param ordinaryForAll false if work that may run on spot machines is to get only those
   */
  public List<Rental> plan(
      List<Need> needs,
      Collection<Machine> machines,
      List<Kind> requestedKinds,
      List<MachineType> catalog,
      boolean ordinaryForAll,
      long nowMicros) {
    Market market = new Market(catalog, ordinaryForAll, nowMicros);
    Draft draft = coming(machines, requestedKinds, nowMicros);
    for (Group group : groups(needs)) {
      Need need = group.need();
      if (need.sharesZone()) {
        String zone = sharedZone(group, draft, machines, market);
        if (zone != null) {
          cover(group, draft, ZoneAllowance.only(zone), market);
        }
      } else if (need.spreadsOverZones()) {
        cover(group, draft, ZoneAllowance.atMostHalf(need), market);
      } else {
        cover(group, draft, ZoneAllowance.anyZone(), market);
      }
    }
    return draft.rentals();
  }

  private static Draft coming(
      Collection<Machine> machines, List<Kind> requestedKinds, long nowMicros) {
    Draft draft = new Draft();
    for (Machine machine : machines) {
      if (comes(machine, nowMicros)) {
        draft.freeCapacities.add(
            new Coming(new Kind(machine.type(), machine.zone(), machine.spot())));
      }
    }
    requestedKinds.forEach(kind -> draft.freeCapacities.add(new Coming(kind)));
    draft.freeCapacities.sort(
        Comparator.comparingDouble((Coming r) -> r.kind.type().cpus())
            .thenComparingDouble(r -> r.kind.type().memoryGb())
            .reversed());
    return draft;
  }

  /**
   * Needs of the same size are one: many small jobs fill a large machine as well as a large one.
   */
  private static Collection<Group> groups(List<Need> needs) {
    Map<String, Group> groups = new LinkedHashMap<>();
    for (Need need : needs) {
      String key = need.groupKey();
      Group known = groups.get(key);
      Group group =
          known == null
              ? new Group(need, new HashMap<>())
              : new Group(known.need().and(need), known.images());
      group.images().put(need.spec().image(), need.spec().imageGb());
      groups.put(key, group);
    }
    return groups.values();
  }

  /**
   * The zone for a job whose tasks must share one: that of its bound tasks, else the one that can
   * hold most of it, among equals the one in which the least remains to be paid for. Null if none
   * can hold any of it.
   *
   * <p>Guards against machines rented in a zone that the job cannot use, and against machines to
   * come in several zones that are counted together for it.
   */
  private String sharedZone(Group group, Draft draft, Collection<Machine> machines, Market market) {
    Need need = group.need();
    for (Map.Entry<String, Integer> entry : need.boundInZone().entrySet()) {
      if (entry.getValue() > 0) {
        return entry.getKey();
      }
    }
    String best = null;
    int fewestLeft = need.tasks();
    double bestPrice = 0;
    for (String zone : zones(draft, market)) {
      Draft trial = draft.copyOf(zone);
      int left = cover(group, trial, ZoneAllowance.only(zone), market);
      // Machines that came for the job and that wait with it for the others make it stay there.
      double missing = 1 - (double) fitsFree(need, zone, machines) / need.tasks();
      double price = (trial.price() - draft.price()) * missing;
      boolean cheaper = best != null && left == fewestLeft && price < bestPrice - EPS;
      if (left < fewestLeft || cheaper) {
        best = zone;
        fewestLeft = left;
        bestPrice = price;
      }
    }
    return best;
  }

  private static Set<String> zones(Draft draft, Market market) {
    Set<String> zones = new TreeSet<>();
    market.catalog().forEach(type -> zones.addAll(type.zones()));
    draft.freeCapacities.forEach(coming -> zones.add(coming.kind.zone()));
    return zones;
  }

  /** How many of the tasks the free room of the zone's machines covers. */
  private static int fitsFree(Need need, String zone, Collection<Machine> machines) {
    int fits = 0;
    for (Machine machine : machines) {
      if (fits < need.tasks()
          && machine.zone().equals(zone)
          && machine.schedulable()
          && SortFirstFit.permitted(need.spec(), machine)) {
        fits += FreeCapacity.free(machine).take(need.spec(), need.tasks() - fits);
      }
    }
    return fits;
  }

  /**
   * Covers the tasks by machines to come, and adds machines for the others.
   *
   * @return the number of tasks that are not covered
   */
  private int cover(Group group, Draft draft, ZoneAllowance allowance, Market market) {
    Need need = group.need();
    int left = need.tasks();
    for (Coming coming : draft.freeCapacities) {
      if (left > 0 && permitted(need.spec(), coming.kind)) {
        left -= coming.take(need.spec(), left, allowance);
      }
    }
    while (left > 0) {
      Kind kind = cheapest(group, left, allowance, market);
      // One request has no room for more: the next plan goes on. Guards against planning for
      // thousands of machines, again and again, when the largest allowed job waits.
      if (kind == null || draft.wanted.getOrDefault(kind, 0) >= MAX_AT_ONCE) {
        break;
      }
      Coming coming = new Coming(kind);
      left -= coming.take(need.spec(), left, allowance);
      draft.freeCapacities.add(coming);
      draft.wanted.merge(kind, 1, Integer::sum);
    }
    return left;
  }

  /** A machine that will soon give room. One long overdue is not counted on. */
  private static boolean comes(Machine machine, long nowMicros) {
    return (machine.phase() == MachinePhase.BOOTING || machine.phase() == MachinePhase.UNCONFIRMED)
        && !machine.quarantined()
        && nowMicros - machine.knownSince() < 2 * machine.type().bootMicros() + BOOT_MARGIN_MICROS;
  }

  private static boolean permitted(JobSpec spec, Kind kind) {
    return SortFirstFit.permitted(spec, kind.type().name(), kind.zone(), kind.spot());
  }

  private Kind cheapest(Group group, int tasks, ZoneAllowance allowance, Market market) {
    JobSpec spec = group.need().spec();
    Kind best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (MachineType type : market.catalog()) {
      if (!Admission.fits(spec, type)) {
        continue;
      }
      for (String zone : type.zones()) {
        int most = Math.min(tasks, allowance.in(zone));
        if (most <= 0) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          Kind kind = new Kind(type, zone, spot);
          if (!permitted(spec, kind)
              || !available(kind, market.nowMicros())
              || spec.spot() && !spot && !market.ordinaryForAll()) {
            continue;
          }
          double cost = costPerTask(kind, group, most);
          if (cost < bestCost - EPS) {
            best = kind;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }

  private static double costPerTask(Kind kind, Group group, int mostTasks) {
    MachineType type = kind.type();
    int slots = FreeCapacity.of(type).take(group.need().spec(), mostTasks);
    // Until it has booted and fetched its images, a machine is paid for and of no use.
    double gb = group.meanImageGb() * Math.min(slots, group.images().size());
    double fetchS = type.fetchGbPerS() > 0 ? gb / type.fetchGbPerS() : 0;
    boolean late = type.bootMicros() + fetchS * MICROS_PER_SECOND > group.need().slackMicros();
    double idle = 1 + (type.bootMicros() / MICROS_PER_SECOND + fetchS) / STARTUP_COST_SPREAD_S;
    return kind.price() * idle * (late ? LATE_COST : 1) / slots;
  }
}
