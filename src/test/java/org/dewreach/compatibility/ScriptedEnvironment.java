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
import org.dewreach.compatibility.ControllerUnderTest.SentCall;
import org.dewreach.compatibility.ControllerUnderTest.SentResponse;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;

/**
 * Controller n0 with scripted users, workers, peers, key-value store and cloud. Time advances in
 * steps of 50 ms.
 */
final class ScriptedEnvironment implements ControllerUnderTest.Output {
  static final long SECOND = 1_000_000;

  /** The wall-clock time at event time 0. */
  static final long WALL_CLOCK_MICROS = 1_700_000_000_000_000L;

  private static final long STEP_MICROS = 50_000;

  /** The maximum number of rounds in one time step, each of which delivers replies to calls. */
  private static final int MAX_ROUNDS = 1_000;

  final ScriptedKeyValueStore store = new ScriptedKeyValueStore();

  /** The entries of the cloud's machine list. */
  final List<ObjectNode> listedMachines = new ArrayList<>();

  /** The response of the cloud, or null for the default one. */
  Function<SentCall, Reply> cloudOverride = call -> null;

  /** The responses of other controllers; null for no response. */
  Function<SentCall, Reply> peerReplies = call -> null;

  /** All calls that the controller made so far. */
  final List<SentCall> calls = new ArrayList<>();

  private final Map<String, ScriptedWorker> workers = new LinkedHashMap<>();
  private final Map<Long, SentResponse> responses = new HashMap<>();
  private final Map<SentCall, Long> pendingCalls = new LinkedHashMap<>();
  private final Deque<SentCall> newCalls = new ArrayDeque<>();
  private final ControllerUnderTest controller;
  private long now;
  private long lastRequestId;
  private int rentedCount;

  ScriptedEnvironment() {
    controller =
        new ControllerUnderTest(Fixtures.text("site.toml"), "boot-1", WALL_CLOCK_MICROS, this);
  }

  /** Returns an environment whose controller leads: no other controller claims the leader key. */
  static ScriptedEnvironment leading() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    environment.run(4 * SECOND);
    return environment;
  }

  /** Returns an environment in which another controller, n1, leads. */
  static ScriptedEnvironment following() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    environment.store.put("dw/catalog", Fixtures.tree("catalog.json", "catalog"), 0);
    environment.store.put("dw/leader", Fixtures.tree("stored-records.json", "leader n1"), 5);
    environment.run(SECOND);
    return environment;
  }

  long now() {
    return now;
  }

  @Override
  public void onCall(SentCall call) {
    calls.add(call);
    newCalls.add(call);
  }

  @Override
  public void onResponse(SentResponse response) {
    responses.put(response.requestId(), response);
  }

  /** Advances the time; in each step the controller gets a tick and the replies that are due. */
  void run(long micros) {
    for (long until = now + micros; now < until; ) {
      now += STEP_MICROS;
      controller.tick(now);
      deliverReplies();
    }
  }

  private void deliverReplies() {
    int rounds = 0;
    do {
      if (++rounds > MAX_ROUNDS) {
        throw new AssertionError("too many consecutive calls in one time step: " + newCalls);
      }
      while (!newCalls.isEmpty()) {
        pendingCalls.put(newCalls.poll(), now);
      }
      for (Map.Entry<SentCall, Long> entry : List.copyOf(pendingCalls.entrySet())) {
        SentCall call = entry.getKey();
        Reply reply = reply(call, entry.getValue());
        if (reply == null && now - entry.getValue() >= call.timeoutMicros()) {
          reply = new Reply(0, null);
        }
        if (reply != null) {
          pendingCalls.remove(call);
          controller.reply(now, call, reply.status(), reply.body());
        }
      }
    } while (!newCalls.isEmpty());
  }

  private Reply reply(SentCall call, long sentAt) {
    if (call.target().equals("state")) {
      return store.reply(call, sentAt, now);
    }
    if (call.target().equals("cloud")) {
      Reply scripted = cloudOverride.apply(call);
      return scripted == null ? cloud(call) : scripted;
    }
    ScriptedWorker worker = workers.get(call.target());
    return worker == null ? peerReplies.apply(call) : worker.reply(call);
  }

  private Reply cloud(SentCall call) {
    if (call.path().equals("/catalog")) {
      return new Reply(200, Fixtures.tree("catalog.json", "catalog"));
    }
    ObjectNode response = Fixtures.json("{}");
    if (call.path().equals("/rentals")) {
      var hosts = response.putArray("hosts");
      for (int i = 0; i < call.body().get("count").intValue(); i++) {
        hosts.add("vm-%06d".formatted(++rentedCount));
      }
    } else if (call.path().startsWith("/rentals?")) {
      var hosts = response.put("more", false).putArray("hosts");
      boolean first = !call.path().contains("after=");
      listedMachines.stream().filter(machine -> first).forEach(hosts::add);
    }
    return new Reply(200, response);
  }

  ScriptedWorker addWorker(String name, String address, String zone) {
    ScriptedWorker worker = new ScriptedWorker(name, address, zone);
    workers.put("worker " + address, worker);
    return worker;
  }

  /** Sends a heartbeat of the worker, which executes the commands in the response. */
  SentResponse sendHeartbeat(ScriptedWorker worker) {
    SentResponse response = request("POST", "/hello", worker.nextHeartbeat());
    if (response.status() == 200) {
      worker.execute(response.body());
    }
    return response;
  }

  /** Advances the time while the worker sends a heartbeat every second. */
  void runWithHeartbeats(ScriptedWorker worker, long micros) {
    for (long until = now + micros; now < until; ) {
      sendHeartbeat(worker);
      run(SECOND);
    }
  }

  /**
   * Sends a heartbeat of the worker every second until a response contains a command of the given
   * kind, and returns that response.
   */
  SentResponse sendHeartbeatsUntil(ScriptedWorker worker, String verb) {
    for (int i = 0; i < 20; i++) {
      SentResponse response = sendHeartbeat(worker);
      if (response.status() == 200 && response.body().findValuesAsText("verb").contains(verb)) {
        return response;
      }
      run(SECOND);
    }
    throw new AssertionError("no such command was sent: " + verb);
  }

  /** Sends a request to the public address; the response may take up to five seconds. */
  SentResponse request(String method, String path, JsonNode body) {
    long id = ++lastRequestId;
    controller.request(now, id, method, path, body);
    return awaitResponse(id);
  }

  /** Sends a request of another controller; the response may take up to five seconds. */
  SentResponse requestAsPeer(String method, String path, JsonNode body) {
    long id = ++lastRequestId;
    controller.peerRequest(now, id, method, path, body);
    return awaitResponse(id);
  }

  private SentResponse awaitResponse(long id) {
    deliverReplies();
    for (long until = now + 5 * SECOND; now < until && !responses.containsKey(id); ) {
      run(STEP_MICROS);
    }
    SentResponse response = responses.remove(id);
    if (response == null) {
      throw new AssertionError("no response to request " + id);
    }
    return response;
  }

  SentResponse submit(ObjectNode job) {
    return request("POST", "/work", job);
  }

  SentResponse query(String id) {
    return request("GET", "/work/" + id, null);
  }

  SentResponse cancel(String id) {
    return request("POST", "/work/" + id + "/abort", null);
  }

  /** Returns the last call whose method and path have the given prefix. */
  SentCall lastCall(String methodAndPath) {
    return lastCall(methodAndPath, call -> true);
  }

  /** Returns the last call whose method and path have the given prefix and which matches. */
  SentCall lastCall(String methodAndPath, Predicate<SentCall> condition) {
    return calls.stream()
        .filter(call -> (call.method() + " " + call.path()).startsWith(methodAndPath))
        .filter(condition)
        .reduce((first, second) -> second)
        .orElseThrow(() -> new AssertionError("no such call was made: " + methodAndPath));
  }

  /** Returns the last transaction that puts or removes the key. */
  SentCall lastTransactionOn(String key) {
    return lastCall(
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
