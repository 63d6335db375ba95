package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.controller.Controller;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Target;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running controller: the core on an event loop, with its servers and its clients. */
public final class ControllerRuntime {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerRuntime.class);
  private static final long TICK_MS = 50;

  /** Exit status after an error in the core, as in sysexits.h. */
  private static final int EXIT_INTERNAL_ERROR = 70;

  /** A worker's connection without so many heartbeats in a row may be gone. */
  private static final int EVICTABLE_IDLE_HEARTBEATS = 3;

  /** Calls to one host at a time; a watch occupies one of them. */
  private static final int MAX_CALLS_PER_HOST = 16;

  /**
   * Calls to one host at a time that the lead depends on: the watch of the leader key, an extension
   * of the hold, a read or claim, and the end of an earlier hold.
   */
  private static final int MAX_LEADERSHIP_CALLS_PER_HOST = 4;

  /** A command, and a status request. */
  private static final int MAX_CALLS_PER_WORKER = 2;

  /** Sockets not counted one by one: listening, an operator's request, one just closed. */
  private static final int RESERVED_SOCKETS = 8;

  /** Nothing listens there. */
  private static final Settings.Address UNREACHABLE = new Settings.Address("127.0.0.1", 1);

  private final Settings settings;
  private final EventLoopGroup loop;
  private final HttpClient serviceClient;
  private final HttpClient leadershipClient;
  private final HttpClient workerClient;
  private final Controller controller;
  private final Map<String, Settings.Address> memberAddresses = new HashMap<>();
  private final Long2ObjectOpenHashMap<HttpServer.ResponseSender> pendingResponses =
      new Long2ObjectOpenHashMap<>();
  private final long startNanos;
  private long lastRequestId;

  /**
   * A controller.
   *
   * @param startNanos when this process started, on the steady clock: event time counts from there
   */
  public ControllerRuntime(Settings settings, Tuning tuning, long startNanos) {
    this.settings = settings;
    this.startNanos = startNanos;
    this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int hosts = settings.members().size() + 2;
    this.serviceClient = new HttpClient(loop, MAX_CALLS_PER_HOST, hosts * MAX_CALLS_PER_HOST);
    int electorate = settings.members().size() + 1;
    this.leadershipClient =
        new HttpClient(
            loop, MAX_LEADERSHIP_CALLS_PER_HOST, electorate * MAX_LEADERSHIP_CALLS_PER_HOST);
    this.workerClient =
        new HttpClient(loop, MAX_CALLS_PER_WORKER, settings.limits().connectionsToWorkers());
    long wallMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    // Two processes of a node are told apart by their start; the clock alone may step back.
    String boot =
        Long.toString(wallMicros, Character.MAX_RADIX)
            + "-"
            + Long.toString(ProcessHandle.current().pid(), Character.MAX_RADIX)
            + "-"
            + Long.toString(startNanos, Character.MAX_RADIX);
    this.controller =
        new Controller(settings, tuning, boot, new Random(boot.hashCode()), wallMicros - now());
    settings.members().forEach(member -> memberAddresses.put(member.name(), member.address()));
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }

  /** Starts serving. */
  public void start() throws InterruptedException {
    int members = settings.members().size();
    // Each of the others opens this many; a few more for operators and for closed ones in between.
    int fromPeers =
        members * (MAX_CALLS_PER_HOST + MAX_LEADERSHIP_CALLS_PER_HOST) + RESERVED_SOCKETS;
    int forAuthority = (members + 1) * MAX_LEADERSHIP_CALLS_PER_HOST;
    int toServices = (members + 2) * MAX_CALLS_PER_HOST + forAuthority + RESERVED_SOCKETS;
    int fromClients =
        Math.max(
            RESERVED_SOCKETS, settings.limits().connectionsFromClients(fromPeers + toServices));
    HttpServer clients =
        new HttpServer(
            BodyFormat.CBOR,
            (m, p, b, r) -> handleRequest(Event.Source.PUBLIC, m, p, b, r),
            fromClients,
            Math.max(
                HttpServer.EVICTABLE_IDLE_MICROS,
                EVICTABLE_IDLE_HEARTBEATS * settings.workers().reportMicros()));
    HttpServer peers =
        new HttpServer(
            BodyFormat.MESSAGE_PACK,
            (m, p, b, r) -> handleRequest(Event.Source.PEER, m, p, b, r),
            fromPeers);
    peers.listen(loop, settings.internalListen());
    clients.listen(loop, settings.clientListen());
    loop.scheduleAtFixedRate(() -> handle(new Event.Tick()), 0, TICK_MS, TimeUnit.MILLISECONDS);
    LOG.info("controller started: node={} address={}", settings.name(), settings.clientListen());
  }

  private void handleRequest(
      Event.Source source,
      String method,
      String path,
      JsonNode body,
      HttpServer.ResponseSender reply) {
    long id = ++lastRequestId;
    pendingResponses.put(id, reply);
    handle(new Event.Request(id, source, method, path, body));
  }

  private void handle(Event event) {
    try {
      controller.handle(now(), event).forEach(this::execute);
    } catch (RuntimeException e) {
      // The cluster state may be half changed: ending here lets a clean start rebuild them.
      LOG.error(
          "controller failed, ending the process: event={}", event.getClass().getSimpleName(), e);
      Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    }
  }

  private void execute(Effect effect) {
    // Looked at again here: the process may have stood still since the effect was decided on.
    boolean tooLate = effect.notAfterMicros() != Effect.ANY_TIME && effect.tooLate(now());
    if (effect instanceof Effect.Respond respond) {
      HttpServer.ResponseSender reply = pendingResponses.remove(respond.requestId());
      if (reply != null) {
        Effect.Respond sent = tooLate ? respond.instead() : respond;
        reply.send(sent.status(), sent.body(), sent.retryAfterS());
      }
    } else if (effect instanceof Effect.Call call) {
      if (tooLate) {
        loop.execute(() -> handle(call.unsent()));
        return;
      }
      Target target = call.target();
      clientFor(call)
          .call(
              addressOf(target),
              target instanceof Target.Member ? BodyFormat.MESSAGE_PACK : BodyFormat.CBOR,
              call.method(),
              call.path(),
              call.body(),
              call.timeoutMicros(),
              (status, body) -> handle(new Event.Reply(call.callId(), status, body)));
    }
  }

  private HttpClient clientFor(Effect.Call call) {
    if (call.target() instanceof Target.Worker) {
      return workerClient;
    }
    return call.pool() == ConnectionPool.LEADERSHIP ? leadershipClient : serviceClient;
  }

  /** The address that a worker gave; if it is malformed, the call ends without a response. */
  private static Settings.Address workerAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      return new Settings.Address(
          text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      return UNREACHABLE;
    }
  }

  private Settings.Address addressOf(Target target) {
    if (target instanceof Target.Member member) {
      return memberAddresses.get(member.name());
    }
    if (target instanceof Target.Worker worker) {
      return workerAddress(worker.address());
    }
    return target instanceof Target.Cloud ? settings.cloud() : settings.state();
  }
}
