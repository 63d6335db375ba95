package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.config.SettingsException;
import org.dewreach.config.SettingsReader;
import org.dewreach.config.Tuning;
import org.dewreach.controller.Controller;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Target;
import org.dewreach.store.Keys;
import org.dewreach.wire.Codec;

/** Three controllers in a simulated cluster, played from one seed. */
final class Simulation {
  static final List<String> NODES = List.of("n0", "n1", "n2");

  private static final class NodeProcess {
    Controller core;
    long startedAt;
    double drift;
    int boots;
    long slowUntil;
    long slowBy;
    long freezeFor;
    long freezeAtRequestFor;
    long frozenUntil;
    long lastRequest;
    int answers;
    final Map<Long, SimKeyValueStore.Reply> requests = new HashMap<>();
    final Set<Long> userRequests = new HashSet<>();
    final Map<Long, Boolean> openCalls = new HashMap<>();
  }

  final Random random;

  /**
   * Draws for the requests that controllers repeat in the background, so that how often they do
   * does not change what else happens on a day.
   */
  private final Random backgroundDraws;

  final Clock clock = new Clock();
  final Settings settings;
  final Network network;
  final Checker checker;
  final SimKeyValueStore state;
  final SimCloud cloud;
  final SimUsers users;
  int leasesLost;

  /** Share of reports, transactions and rentals of which a late copy follows, in thousandths. */
  int lateCopies;

  final SimWorker.Faults workerDefects = new SimWorker.Faults();

  /** Questions at this path are turned away, whatever node they go to. */
  String unavailablePath;

  /** Share of commands of which a late copy follows, in thousandths. */
  int commandCopies = 10;

  /** Answers 503 to users that did not say when to come back. */
  int retriesWithoutDelay;

  /** Share of direct commands that are held up, in thousandths, and until when. */
  private int lateCommandShare;

  private long lateCommandsUntil;

  /** Commands that were held up and carried out only after the leader key was written anew. */
  int staleCommandsDelivered;

  /** Reports kept for the next leader, one of each machine. */
  private final Map<String, JsonNode> keptReports = new HashMap<>();

  private int keptShare;
  private long keptUntil;

  /** Reports that reached the controllers as a new leader began. */
  int replayedHeartbeats;

  /** Effects that were too late to be carried out. */
  int effectsTooLate;

  private final Map<String, NodeProcess> nodes = new HashMap<>();
  private final Map<String, Settings> nodeSettings = new HashMap<>();

  /**
   * How large a simulated cluster is, and what its services allow.
   *
   * @param capacity machines of each type, zone and kind
   * @param readPage records in one answer of the state service
   */
  record Size(
      double reportS,
      double leaseS,
      double cancelS,
      double cpusMax,
      double stateRps,
      double writeRps,
      double cloudRps,
      int capacity,
      int readPage,
      int listPage) {
    /** A handful of machines; small pages, so that paging is always exercised. */
    static final Size SMALL = new Size(1, 10, 30, 24, 250, 60, 4, 4, 7, 5);

    /**
     * Cancellations have time for more than a lease beside the longest delegation of a delegate.
     */
    static final Size LONG_CANCEL = new Size(2.5, 15.25, 40.25, 24, 250, 60, 4, 4, 7, 5);

    /** Hundreds of machines on small services. */
    static final Size FLEET = new Size(4, 22, 42, 20_000, 350, 90, 3, 200, 1_000, 500);
  }

  final Size size;

  /** All that the controllers have decided so far. */
  final EffectDigest digest = new EffectDigest();

  Simulation(long seed) {
    this(seed, 1);
  }

  Simulation(long seed, double limitFactor) {
    this(seed, limitFactor, Size.SMALL);
  }

  /** With a factor other than 1 the controllers are given wrong limits. */
  Simulation(long seed, double limitFactor, Size size) {
    this.size = size;
    this.random = new Random(seed);
    this.backgroundDraws = new Random(~seed);
    this.settings = settingsOf("n0", 1, size);
    this.network = new Network(clock, random);
    this.checker = new Checker(clock, settings);
    this.state = new SimKeyValueStore(clock, random, size);
    this.cloud = new SimCloud(this);
    this.users = new SimUsers(this);
    checker.machines = this::workers;
    checker.onAllTasksCompleted = users::onAllTasksCompleted;
    checker.onJobStateReported = users::onJobStateReported;
    for (String name : NODES) {
      nodeSettings.put(name, settingsOf(name, limitFactor, size));
      nodes.put(name, new NodeProcess());
      start(name);
    }
  }

  /** Two controllers are in one zone and the third in the other. */
  static String zoneOf(String node) {
    return node.equals("n2") ? "b" : "a";
  }

  /** Cuts a zone off from everything, with its workers and controllers. */
  void cutZone(String zone, long untilMicros, boolean hold) {
    for (String node : NODES) {
      for (SimWorker worker : workers()) {
        if (worker.zone.equals(zone) != zoneOf(node).equals(zone)) {
          network.partition(worker.name, node, untilMicros, hold);
        }
      }
      for (String other : NODES) {
        if (zoneOf(node).equals(zone) && !zoneOf(other).equals(zone)) {
          network.partition(node, other, untilMicros, hold);
        }
      }
      if (zoneOf(node).equals(zone)) {
        for (String outside : List.of("state", "cloud", "user")) {
          network.partition(node, outside, untilMicros, hold);
        }
      }
    }
  }

  /** Cuts a controller off from everything: what is sent is lost. */
  void cutNode(String node, long untilMicros) {
    workers().forEach(worker -> network.partition(worker.name, node, untilMicros, false));
    List.of("state", "cloud", "user").forEach(o -> network.partition(node, o, untilMicros, false));
    NODES.stream()
        .filter(other -> !other.equals(node))
        .forEach(other -> network.partition(node, other, untilMicros, false));
  }

  /** How many users' and workers' requests the node has answered with other than 5xx. */
  int answersOf(String node) {
    return nodes.get(node).answers;
  }

  /** Reports of these machines arrive; answers and direct commands to them are lost. */
  void dropRepliesTo(List<SimWorker> missesReplies, long untilMicros) {
    for (SimWorker worker : missesReplies) {
      NODES.forEach(node -> network.cut(node, worker.name, untilMicros, false));
    }
  }

  /** These machines reach no controller, while direct commands reach them. */
  void refuseRequestsFrom(List<SimWorker> mute, long untilMicros) {
    for (SimWorker worker : mute) {
      NODES.forEach(node -> network.refuse(worker.name, node, untilMicros));
    }
  }

  /** The node loses the state service and its peers, not its workers or users. */
  void cutFromStateAndPeers(String node, long untilMicros, boolean hold) {
    network.partition(node, "state", untilMicros, hold);
    for (String other : NODES) {
      if (!other.equals(node)) {
        network.partition(node, other, untilMicros, hold);
      }
    }
  }

  /**
   * For a while some direct commands are held up on their way: they get no answer and are carried
   * out once, 2 to 16 s late, if token and incarnation still match.
   *
   * @param share of the commands, in thousandths
   */
  void delayCommands(int share, long untilMicros) {
    lateCommandShare = share;
    lateCommandsUntil = untilMicros;
  }

  /**
   * For a while a copy of some reports is kept, the oldest of each machine, and reaches every
   * controller in the 1.5 s after the leader key was written anew.
   *
   * @param share of the reports, in thousandths
   */
  void replayHeartbeatsToNextLeader(int share, long untilMicros) {
    keptShare = share;
    keptUntil = untilMicros;
    state.onLeaderKey = state.onLeaderKey.andThen(name -> deliverKeptReports());
  }

  private void deliverKeptReports() {
    for (JsonNode report : keptReports.values()) {
      replayedHeartbeats++;
      for (String node : NODES) {
        clock.in(
            random.nextInt(1_500_000),
            () -> request(node, Event.Source.PUBLIC, "POST", "/hello", report, (s, a) -> {}));
      }
    }
    keptReports.clear();
  }

  /** The leader ends, stands still, or loses the state service, again and again. */
  void changeLeaders(int times, long everyMicros) {
    String leader = leader();
    if (leader != null) {
      long until = clock.now() + 3_000_000 + random.nextInt(5_000_000);
      switch (random.nextInt(4)) {
        case 0 -> crash(leader, 20_000 + random.nextInt(4_000_000));
        case 1 -> state.refuse(leader, until);
        case 2 -> freeze(leader, 3_000_000 + random.nextInt(4_000_000));
        default -> cutFromStateAndPeers(leader, until, random.nextBoolean());
      }
    }
    if (times > 1) {
      clock.in(
          everyMicros * 3 / 4 + random.nextLong(everyMicros / 2),
          () -> changeLeaders(times - 1, everyMicros));
    }
  }

  /** Some of the machines that are up, each with the chance given in thousandths. */
  List<SimWorker> randomWorkers(int share) {
    return workers().stream().filter(worker -> random.nextInt(1000) < share).toList();
  }

  private static Settings settingsOf(String name, double limitFactor, Size size) {
    StringBuilder text = new StringBuilder();
    text.append("host_name = \"").append(name);
    text.append("\"\nlocation = \"").append(zoneOf(name)).append("\"\n");
    text.append("client_listen = \"127.0.0.1:1\"\ninternal_addr = \"127.0.0.1:2\"\n");
    for (String other : NODES) {
      if (!other.equals(name)) {
        text.append("[[members]]\nhost_name = \"").append(other);
        text.append("\"\nlocation = \"").append(zoneOf(other));
        text.append("\"\naddress = \"127.0.0.1:3\"\n");
      }
    }
    text.append(
        """
        [external]
        cloud = "127.0.0.1:4"
        state = "127.0.0.1:5"
        [cluster]
        zones = ["a", "b"]
        time_bound_ms = 100.0
        [[cluster.teams]]
        name = "red"
        cpus = 12.0
        cpus_max = %s
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.teams]]
        name = "blue"
        cpus = 8.0
        cpus_max = %s
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.teams]]
        name = "guest"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [cluster.workers]
        report_s = %s
        lease_s = %s
        cancel_s = %s
        [cluster.state]
        rps = %s
        write_rps = %s
        value_kb = 8.0
        txn_ops = 24
        [cluster.cloud]
        rps = %s
        list_lag_s = 3.0
        [cluster.machine_limits]
        cpu_share = 0.5
        ram_mb = 200.0
        max_connections = 3000
        """
            .formatted(
                size.cpusMax() * limitFactor,
                size.cpusMax() * 1.25,
                size.reportS(),
                size.leaseS(),
                size.cancelS(),
                size.stateRps(),
                size.writeRps(),
                size.cloudRps()));
    try {
      return SettingsReader.parse(text.toString());
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  // Controllers

  void start(String name) {
    NodeProcess node = nodes.get(name);
    if (node.core != null) {
      return;
    }
    node.frozenUntil = 0;
    node.startedAt = clock.now();
    node.drift = 1 + random.nextDouble() * 0.0005;
    node.boots++;
    node.core =
        new Controller(
            nodeSettings.get(name),
            Tuning.DEFAULT,
            name + "-" + node.boots,
            new Random(random.nextLong()),
            clock.now() + (random.nextInt(200) - 100) * 1000L);
    tick(name, node.core);
  }

  void crash(String name, long backAfterMicros) {
    NodeProcess node = nodes.get(name);
    node.core = null;
    node.frozenUntil = 0;
    node.freezeFor = 0;
    node.freezeAtRequestFor = 0;
    node.requests.clear();
    node.userRequests.clear();
    node.openCalls.clear();
    clock.in(backAfterMicros, () -> start(name));
  }

  /** The node computes several times slower: whatever it handles waits. */
  void slow(String name, long untilMicros, long byMicros) {
    nodes.get(name).slowUntil = untilMicros;
    nodes.get(name).slowBy = byMicros;
  }

  private long slowdownMicros(String name) {
    NodeProcess node = nodes.get(name);
    return clock.now() < node.slowUntil ? node.slowBy : 0;
  }

  String leader() {
    for (String name : NODES) {
      Controller core = nodes.get(name).core;
      if (core != null && core.leading()) {
        return name;
      }
    }
    return null;
  }

  /** The leader, if it is not the given node: one that stands still may hold that it leads. */
  String leaderOtherThan(String node) {
    return NODES.stream()
        .filter(name -> !name.equals(node))
        .filter(name -> nodes.get(name).core != null && nodes.get(name).core.leading())
        .findFirst()
        .orElse(null);
  }

  private void tick(String name, Controller core) {
    if (nodes.get(name).core == core) {
      handle(name, new Event.Tick());
      clock.in(50_000 + slowdownMicros(name) + random.nextInt(3_000), () -> tick(name, core));
    }
  }

  /**
   * The node stands still while its clocks run on, from the middle of the next event it handles:
   * what it has decided on then goes out afterwards, and what reaches it meanwhile waits.
   */
  void freeze(String name, long micros) {
    nodes.get(name).freezeFor = micros;
  }

  /** As above, from the middle of the next request of a user that the node handles. */
  void freezeAtRequest(String name, long micros) {
    nodes.get(name).freezeAtRequestFor = micros;
  }

  private long monotonicMicros(NodeProcess node) {
    return (long) ((clock.now() - node.startedAt) * node.drift);
  }

  private void handle(String name, Event event) {
    NodeProcess node = nodes.get(name);
    Controller core = node.core;
    if (clock.now() < node.frozenUntil) {
      clock.at(
          node.frozenUntil,
          () -> {
            if (node.core == core) {
              handle(name, event);
            }
          });
      return;
    }
    List<Effect> effects = core.handle(monotonicMicros(node), event);
    effects.forEach(effect -> digest.add(clock.now(), name, effect));
    if (node.freezeAtRequestFor > 0 && isOfUser(event)) {
      node.freezeFor = node.freezeAtRequestFor;
      node.freezeAtRequestFor = 0;
    }
    if (node.freezeFor > 0) {
      node.frozenUntil = clock.now() + node.freezeFor;
      node.freezeFor = 0;
      clock.at(node.frozenUntil, () -> carryOut(name, node, core, effects));
    } else {
      carryOut(name, node, core, effects);
    }
  }

  private static boolean isOfUser(Event event) {
    return event instanceof Event.Request request && request.path().startsWith("/work");
  }

  private void carryOut(String name, NodeProcess node, Controller core, List<Effect> effects) {
    for (Effect effect : effects) {
      if (node.core == core) {
        carryOut(name, node, core, effect);
      }
    }
  }

  private void carryOut(String name, NodeProcess node, Controller core, Effect decided) {
    Effect effect = decided;
    if (decided.tooLate(monotonicMicros(node))) {
      effectsTooLate++;
      if (decided instanceof Effect.Call call) {
        node.openCalls.put(call.callId(), true);
        clock.in(1, () -> end(name, core, call.callId(), 0, null));
        return;
      }
      effect = ((Effect.Respond) decided).instead();
    }
    if (effect instanceof Effect.Respond respond) {
      boolean toUser = node.userRequests.remove(respond.requestId());
      if (toUser && respond.status() == 503 && respond.retryAfterS() == 0) {
        retriesWithoutDelay++;
      }
      SimKeyValueStore.Reply reply = node.requests.remove(respond.requestId());
      if (reply != null) {
        node.answers += respond.status() < 500 ? 1 : 0;
        reply.send(respond.status(), copy(respond.body()));
      }
    } else if (effect instanceof Effect.Call call) {
      node.openCalls.put(call.callId(), true);
      JsonNode body = copy(call.body());
      String to = hostOf(call.target());
      Random draws = isBackground(call) ? backgroundDraws : random;
      SimKeyValueStore.Reply back =
          (status, answer) -> {
            JsonNode copied = copy(answer);
            network.send(
                to,
                name,
                draws,
                () ->
                    clock.in(
                        slowdownMicros(name),
                        () -> end(name, core, call.callId(), status, copied)));
          };
      if (network.refused(name, to)) {
        clock.in(1_000, () -> end(name, core, call.callId(), 0, null));
        return;
      }
      network.send(name, to, draws, () -> serve(name, call, body, back));
      clock.in(call.timeoutMicros(), () -> end(name, core, call.callId(), 0, null));
    }
  }

  /** Lists and watches of the final records. */
  private static boolean isBackground(Effect.Call call) {
    return call.path().contains("?under=" + Keys.FINAL_STATES);
  }

  private static String hostOf(Target target) {
    if (target instanceof Target.Member member) {
      return member.name();
    }
    if (target instanceof Target.Worker worker) {
      return worker.address();
    }
    return target instanceof Target.Cloud ? "cloud" : "state";
  }

  /** A copy of something that was sent comes again, from seconds to well over a lease later. */
  private void perhapsAgain(Runnable delivery) {
    if (random.nextInt(1000) < lateCopies) {
      clock.in(random.nextLong(45_000_000), delivery);
    }
  }

  private void serve(String name, Effect.Call call, JsonNode body, SimKeyValueStore.Reply back) {
    if (call.path().equals("/commit") || call.path().equals("/rentals")) {
      JsonNode again = copy(body);
      perhapsAgain(
          () -> {
            if (call.target() instanceof Target.Cloud) {
              cloud.handle(call.path(), again, (status, answer) -> {});
            } else {
              state.handle(name, call.method(), call.path(), again, (status, answer) -> {});
            }
          });
    }
    if (call.target() instanceof Target.Member member) {
      request(member.name(), Event.Source.PEER, call.method(), call.path(), body, back);
    } else if (call.target() instanceof Target.Worker worker) {
      SimWorker found = cloud.workers.get(worker.address());
      if (found != null) {
        if (call.path().equals("/status")) {
          found.status(back);
          return;
        }
        if (clock.now() < lateCommandsUntil && random.nextInt(1000) < lateCommandShare) {
          deliverCommandLate(found, body);
          return;
        }
        found.command(body, back);
        if (random.nextInt(1000) < commandCopies) {
          // A late copy of a request that was carried out. It comes on the connection it was sent
          // on, which does not outlive the worker's process (see docs/questions.md).
          int incarnation = found.incarnation;
          clock.in(
              random.nextLong(40_000_000),
              () -> {
                if (found.incarnation == incarnation) {
                  found.command(body, (status, answer) -> {});
                }
              });
        }
      }
    } else if (call.target() instanceof Target.Cloud) {
      cloud.handle(call.path(), body, back);
    } else {
      state.handle(name, call.method(), call.path(), body, back);
    }
  }

  private void deliverCommandLate(SimWorker worker, JsonNode command) {
    int incarnation = worker.incarnation;
    int leaderKeys = state.leaderKeys;
    clock.in(
        2_000_000 + random.nextInt(14_000_000),
        () -> {
          if (worker.incarnation == incarnation) {
            staleCommandsDelivered += state.leaderKeys > leaderKeys ? 1 : 0;
            worker.command(command, (status, answer) -> {});
          }
        });
  }

  private void end(String name, Controller core, long callId, int status, JsonNode body) {
    NodeProcess node = nodes.get(name);
    if (node.core == core && node.openCalls.remove(callId) != null) {
      handle(name, new Event.Reply(callId, status, body));
    }
  }

  private void request(
      String name,
      Event.Source source,
      String method,
      String path,
      JsonNode body,
      SimKeyValueStore.Reply reply) {
    NodeProcess node = nodes.get(name);
    Controller core = node.core;
    if (core == null) {
      return;
    }
    if (slowdownMicros(name) > 0) {
      clock.in(slowdownMicros(name), () -> receive(name, core, source, method, path, body, reply));
    } else {
      receive(name, core, source, method, path, body, reply);
    }
  }

  private void receive(
      String name,
      Controller core,
      Event.Source source,
      String method,
      String path,
      JsonNode body,
      SimKeyValueStore.Reply reply) {
    NodeProcess node = nodes.get(name);
    if (node.core == core) {
      long id = ++node.lastRequest;
      node.requests.put(id, reply);
      if (source == Event.Source.PUBLIC && path.startsWith("/work")) {
        node.userRequests.add(id);
      }
      handle(name, new Event.Request(id, source, method, path, body));
    }
  }

  /** A worker's or user's request; a crashed node gives no answer. */
  void toNode(
      String from,
      String name,
      String method,
      String path,
      JsonNode body,
      SimKeyValueStore.Reply reply) {
    JsonNode sent = copy(body);
    if (network.refused(from, name)) {
      clock.in(1_000, () -> reply.send(503, null));
      return;
    }
    if (path.equals(unavailablePath)) {
      clock.in(1_000, () -> reply.send(503, null));
      return;
    }
    if (path.equals("/hello")) {
      perhapsAgain(() -> request(name, Event.Source.PUBLIC, method, path, sent, (s, a) -> {}));
      if (clock.now() < keptUntil && random.nextInt(1000) < keptShare) {
        keptReports.putIfAbsent(from, sent);
      }
    }
    network.send(
        from,
        name,
        () -> {
          if (nodes.get(name).core == null) {
            network.send(name, from, () -> reply.send(503, null));
            return;
          }
          request(
              name,
              Event.Source.PUBLIC,
              method,
              path,
              sent,
              (status, answer) -> network.send(name, from, () -> reply.send(status, answer)));
        });
  }

  /** Through the wire format, so that nothing is shared and everything can be written. */
  static JsonNode copy(JsonNode body) {
    if (body == null) {
      return null;
    }
    try {
      return Codec.read(Codec.write(body));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  List<SimWorker> workers() {
    return new ArrayList<>(cloud.workers.values());
  }

  /** True if no team that has a limit may run one more task of one CPU. */
  boolean teamsAtTheLimit() {
    Map<String, Double> used = new HashMap<>();
    workers().forEach(worker -> worker.addUse(used));
    return settings.teams().values().stream()
        .filter(team -> Double.isFinite(team.cpusMax()))
        .allMatch(team -> used.getOrDefault(team.name(), 0.0) + 1 > team.cpusMax() + 1e-6);
  }

  /** Plays on until the time given, checking after each step. */
  void runUntil(long untilMicros) {
    while (clock.step(untilMicros)) {
      if (!checker.violations.isEmpty()) {
        return;
      }
    }
  }

  /** Jobs arrive, and the checker looks at what must have ended, until the time given. */
  void startWorkload(long untilMicros, long everyMicros) {
    submitRandomJobs(untilMicros, everyMicros);
    checkPeriodically();
  }

  private void submitRandomJobs(long untilMicros, long everyMicros) {
    if (clock.now() < untilMicros) {
      users.submitRandomJob();
      if (random.nextInt(5) == 0) {
        users.queryUnknownJob();
      }
      clock.in(
          everyMicros / 2 + random.nextLong(everyMicros),
          () -> submitRandomJobs(untilMicros, everyMicros));
    }
  }

  private void checkPeriodically() {
    checker.checkDeadlines();
    clock.in(500_000, this::checkPeriodically);
  }
}
