package org.dewreach.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.job.Admission;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.placement.Room;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MachineType;

/**
 * Chooses what to rent: the tasks that fit nowhere are first fitted, by the same rule, on machines
 * that are still booting; for the rest the cheapest kind for the queue's own mix is taken.
 */
public final class FleetPlanner {
  private static final double EPS = 1e-9;
  private static final long FIRST_PAUSE = 8_000_000;
  private static final long LONGEST_PAUSE = 40_000_000;
  private static final int MOST_AT_ONCE = 50;

  /** Time over which what a machine costs until it is of use is spread. Ours. */
  private static final double USED_S = 120;

  /** What a machine that comes too late for the tasks counts for, against one in time. Ours. */
  private static final double LATE_COST = 2;

  /** A kind of machine that can be asked for. */
  public record Kind(MachineType type, String zone, boolean spot) {
    public double price() {
      return spot ? type.spotPrice() : type.price();
    }
  }

  /**
   * A need: so many tasks of a job's size.
   *
   * @param slackMicros how long their start can wait without making them late
   */
  public record Need(JobRequest spec, int tasks, long slackMicros) {
    private Need and(Need other) {
      int sum = tasks + other.tasks;
      double mean = ((double) slackMicros * tasks + (double) other.slackMicros * other.tasks) / sum;
      return new Need(spec, sum, Math.round(mean));
    }
  }

  /** A request to the cloud. */
  public record Rental(Kind kind, int count) {}

  /** A machine to come, with the room that is left on it. */
  private record Coming(Kind kind, Room room) {
    Coming(Kind kind) {
      this(kind, Room.of(kind.type()));
    }
  }

  private final Map<Kind, long[]> refusals = new HashMap<>();

  /** The cloud had none of this kind: ask again later, each time later. */
  public void refused(Kind kind, long nowMicros) {
    long[] entry = refusals.computeIfAbsent(key(kind), k -> new long[2]);
    entry[1] = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, entry[1] * 2));
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

  /**
   * What to ask for now.
   *
   * @param ordinaryForAll false if work that may run on spot machines is to get only those
   */
  public List<Rental> plan(
      List<Need> needs,
      Collection<Machine> machines,
      List<Kind> askedFor,
      List<MachineType> catalog,
      boolean ordinaryForAll,
      long nowMicros) {
    List<Coming> rooms = new ArrayList<>();
    for (Machine machine : machines) {
      if (comes(machine, nowMicros)) {
        rooms.add(new Coming(new Kind(machine.type(), machine.zone(), machine.spot())));
      }
    }
    askedFor.forEach(kind -> rooms.add(new Coming(kind)));
    rooms.sort(
        Comparator.comparingDouble((Coming r) -> r.kind.type().cpus())
            .thenComparingDouble(r -> r.kind.type().memoryGb())
            .reversed());
    Map<Kind, Integer> wanted = new HashMap<>();
    List<Kind> order = new ArrayList<>();
    // Needs of the same size are one: many small jobs fill a large machine as well as a large one.
    Map<String, Need> groups = new LinkedHashMap<>();
    Map<String, Map<String, Double>> images = new HashMap<>();
    for (Need need : needs) {
      String likeness = SortFirstFit.likeness(need.spec());
      groups.merge(likeness, need, Need::and);
      images
          .computeIfAbsent(likeness, key -> new HashMap<>())
          .put(need.spec().image(), need.spec().imageGb());
    }
    for (Need need : groups.values()) {
      Map<String, Double> itsImages = images.get(SortFirstFit.likeness(need.spec()));
      int left = need.tasks();
      for (Coming coming : rooms) {
        if (left > 0 && permitted(need.spec(), coming.kind)) {
          left -= coming.room.take(need.spec(), left);
        }
      }
      while (left > 0) {
        Kind kind = cheapest(need, left, itsImages, catalog, ordinaryForAll, nowMicros);
        // One request has no room for more: the next plan goes on. Guards against planning for
        // thousands of machines, again and again, when the largest allowed job waits.
        if (kind == null || wanted.getOrDefault(kind, 0) >= MOST_AT_ONCE) {
          break;
        }
        Coming coming = new Coming(kind);
        left -= coming.room.take(need.spec(), left);
        rooms.add(coming);
        if (wanted.merge(kind, 1, Integer::sum) == 1) {
          order.add(kind);
        }
      }
    }
    List<Rental> rentals = new ArrayList<>();
    for (Kind kind : order) {
      rentals.add(new Rental(kind, Math.min(MOST_AT_ONCE, wanted.get(kind))));
    }
    return rentals;
  }

  /** A machine that will soon give room. One long overdue is not counted on. */
  private static boolean comes(Machine machine, long nowMicros) {
    return (machine.phase() == MachinePhase.BOOTING || machine.phase() == MachinePhase.GREETED)
        && !machine.setAside()
        && nowMicros - machine.knownSince() < 2 * machine.type().bootMicros() + 10_000_000;
  }

  private static boolean permitted(JobRequest spec, Kind kind) {
    return SortFirstFit.permitted(spec, kind.type().name(), kind.zone(), kind.spot());
  }

  private Kind cheapest(
      Need need,
      int tasks,
      Map<String, Double> images,
      List<MachineType> catalog,
      boolean ordinaryForAll,
      long nowMicros) {
    JobRequest spec = need.spec();
    double allGb = 0;
    for (double gb : images.values()) {
      allGb += gb;
    }
    Kind best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (MachineType type : catalog) {
      if (!Admission.fits(spec, type)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Kind kind = new Kind(type, zone, spot);
          if (!permitted(spec, kind)
              || !available(kind, nowMicros)
              || spec.spot() && !spot && !ordinaryForAll) {
            continue;
          }
          int slots = Room.of(type).take(spec, tasks);
          // Until it has booted and fetched its images, a machine is paid for and of no use.
          double gb = allGb / images.size() * Math.min(slots, images.size());
          double fetchS = type.fetchGbPerS() > 0 ? gb / type.fetchGbPerS() : 0;
          boolean late = type.bootMicros() + fetchS * 1e6 > need.slackMicros();
          double idle = 1 + (type.bootMicros() / 1e6 + fetchS) / USED_S;
          double cost = kind.price() * idle * (late ? LATE_COST : 1) / slots;
          if (cost < bestCost - EPS) {
            best = kind;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }
}
