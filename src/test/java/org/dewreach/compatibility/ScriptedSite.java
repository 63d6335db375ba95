package org.dewreach.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dewreach.compatibility.ControllerUnderTest.Answered;
import org.dewreach.compatibility.ControllerUnderTest.Sent;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;

/** One controller, n0, and everything around it, played by the test in steps of 50 ms. */
final class ScriptedSite implements ControllerUnderTest.Output {
  static final long S = 1_000_000;

  /** The time of day at event time 0. */
  static final long WALL = 1_700_000_000_000_000L;

  private static final long STEP = 50_000;

  /** Calls that may follow from each other without time passing. */
  private static final int MAX_ROUNDS = 1_000;

  final ScriptedKeyValueStore state = new ScriptedKeyValueStore();

  /** Machines as the cloud lists them. */
  final List<ObjectNode> listed = new ArrayList<>();

  /** What the cloud answers, if not what is scripted here. */
  Function<Sent, Reply> cloudInstead = call -> null;

  /** What other controllers answer; null for no response. */
  Function<Sent, Reply> peers = call -> null;

  /** All calls so far. */
  final List<Sent> sent = new ArrayList<>();

  private final Map<String, ScriptedWorker> workers = new LinkedHashMap<>();
  private final Map<Long, Answered> answers = new HashMap<>();
  private final Map<Sent, Long> open = new LinkedHashMap<>();
  private final Deque<Sent> fresh = new ArrayDeque<>();
  private final ControllerUnderTest controller;
  private long now;
  private long lastRequest;
  private int rented;

  ScriptedSite() {
    controller = new ControllerUnderTest(Fixtures.text("site.toml"), "boot-1", WALL, this);
  }

  /** A site whose controller leads and acts: nobody else claims the key. */
  static ScriptedSite leading() {
    ScriptedSite site = new ScriptedSite();
    site.run(4 * S);
    return site;
  }

  /** A site that another controller, n1, leads. */
  static ScriptedSite following() {
    ScriptedSite site = new ScriptedSite();
    site.state.put("dw/catalog", Fixtures.tree("catalog.json", "catalog"), 0);
    site.state.put("dw/leader", Fixtures.tree("stored-records.json", "leader n1"), 5);
    site.run(S);
    return site;
  }

  long now() {
    return now;
  }

  @Override
  public void sent(Sent call) {
    sent.add(call);
    fresh.add(call);
  }

  @Override
  public void answered(Answered answer) {
    answers.put(answer.requestId(), answer);
  }

  // Time

  /** Lets time pass. */
  void run(long micros) {
    for (long until = now + micros; now < until; ) {
      now += STEP;
      controller.tick(now);
      settle();
    }
  }

  private void settle() {
    int rounds = 0;
    do {
      if (++rounds > MAX_ROUNDS) {
        throw new AssertionError("requests without end: " + fresh);
      }
      while (!fresh.isEmpty()) {
        open.put(fresh.poll(), now);
      }
      for (Map.Entry<Sent, Long> entry : List.copyOf(open.entrySet())) {
        Sent call = entry.getKey();
        Reply reply = reply(call, entry.getValue());
        if (reply == null && now - entry.getValue() >= call.timeoutMicros()) {
          reply = new Reply(0, null);
        }
        if (reply != null) {
          open.remove(call);
          controller.reply(now, call, reply.status(), reply.body());
        }
      }
    } while (!fresh.isEmpty());
  }

  private Reply reply(Sent call, long sentAt) {
    if (call.to().equals("state")) {
      return state.reply(call, sentAt, now);
    }
    if (call.to().equals("cloud")) {
      Reply scripted = cloudInstead.apply(call);
      return scripted == null ? cloud(call) : scripted;
    }
    ScriptedWorker worker = workers.get(call.to());
    return worker == null ? peers.apply(call) : worker.reply(call);
  }

  private Reply cloud(Sent call) {
    if (call.path().equals("/catalog")) {
      return new Reply(200, Fixtures.tree("catalog.json", "catalog"));
    }
    ObjectNode answer = Fixtures.json("{}");
    if (call.path().equals("/rentals")) {
      var hosts = answer.putArray("hosts");
      for (int i = 0; i < call.body().get("count").intValue(); i++) {
        hosts.add("vm-%06d".formatted(++rented));
      }
    } else if (call.path().startsWith("/rentals?")) {
      var hosts = answer.put("more", false).putArray("hosts");
      boolean first = !call.path().contains("after=");
      listed.stream().filter(machine -> first).forEach(hosts::add);
    }
    return new Reply(200, answer);
  }

  // Others

  ScriptedWorker worker(String name, String address, String site) {
    ScriptedWorker worker = new ScriptedWorker(name, address, site);
    workers.put("worker " + address, worker);
    return worker;
  }

  /** A worker reports, and carries out what it is answered. */
  Answered report(ScriptedWorker worker) {
    Answered answer = ask("POST", "/hello", worker.report());
    if (answer.status() == 200) {
      worker.execute(answer.body());
    }
    return answer;
  }

  /** Time passes, in which the worker reports every second. */
  void runWith(ScriptedWorker worker, long micros) {
    for (long until = now + micros; now < until; ) {
      report(worker);
      run(S);
    }
  }

  /** The first response that has an order of the kind, while the worker reports every second. */
  Answered reportUntil(ScriptedWorker worker, String verb) {
    for (int i = 0; i < 20; i++) {
      Answered answer = report(worker);
      if (answer.status() == 200 && answer.body().findValuesAsText("verb").contains(verb)) {
        return answer;
      }
      run(S);
    }
    throw new AssertionError("never ordered: " + verb);
  }

  /** A request to the public address; its answer may take up to five seconds. */
  Answered ask(String method, String path, JsonNode body) {
    long id = ++lastRequest;
    controller.request(now, id, method, path, body);
    return answer(id);
  }

  /** A request of another controller. */
  Answered askAsPeer(String method, String path, JsonNode body) {
    long id = ++lastRequest;
    controller.peerRequest(now, id, method, path, body);
    return answer(id);
  }

  private Answered answer(long id) {
    settle();
    for (long until = now + 5 * S; now < until && !answers.containsKey(id); ) {
      run(STEP);
    }
    Answered answer = answers.remove(id);
    if (answer == null) {
      throw new AssertionError("no answer to request " + id);
    }
    return answer;
  }

  Answered submit(ObjectNode job) {
    return ask("POST", "/work", job);
  }

  Answered query(String id) {
    return ask("GET", "/work/" + id, null);
  }

  Answered cancel(String id) {
    return ask("POST", "/work/" + id + "/abort", null);
  }

  // What was sent

  /** The last call whose method and path begin as given. */
  Sent last(String methodAndPath) {
    return last(methodAndPath, call -> true);
  }

  /** As above, of those that meet the condition. */
  Sent last(String methodAndPath, Predicate<Sent> condition) {
    return sent.stream()
        .filter(call -> (call.method() + " " + call.path()).startsWith(methodAndPath))
        .filter(condition)
        .reduce((first, second) -> second)
        .orElseThrow(() -> new AssertionError("never sent: " + methodAndPath));
  }

  /** The last transaction that puts the key or removes it. */
  Sent transaction(String key) {
    return last(
        "POST /commit",
        call -> {
          for (JsonNode change : call.body().get("then")) {
            if (change.path("put").asText(change.path("remove").asText()).equals(key)) {
              return true;
            }
          }
          return false;
        });
  }
}
