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

/** Runs a {@link Controller} on an event loop, with its HTTP servers and clients. */
public final class ControllerRuntime {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerRuntime.class);
  private static final long TICK_MS = 50;

  /** The exit code after an error in the controller logic: EX_SOFTWARE of sysexits.h. */
  private static final int EXIT_INTERNAL_ERROR = 70;

  /**
   * The idle time, in heartbeat intervals, after which the connection of a worker may be evicted: a
   * worker that missed this many heartbeats in a row may be gone.
   */
  private static final int EVICTABLE_IDLE_HEARTBEATS = 3;

  /** The maximum number of concurrent calls to one host; a watch occupies one of them. */
  private static final int MAX_CALLS_PER_HOST = 16;

  /**
   * The maximum number of concurrent calls to one host that leadership depends on: the watch of the
   * leader key, a renewal of its lease, a read or claim of the key, and the revocation of an
   * earlier lease.
   */
  private static final int MAX_LEADERSHIP_CALLS_PER_HOST = 4;

  /** One direct command and one status request. */
  private static final int MAX_CALLS_PER_WORKER = 2;

  /**
   * Sockets that are not counted individually: listening sockets, operators' requests and
   * connections that are just being closed.
   */
  private static final int RESERVED_SOCKETS = 8;

  /** An address on which nothing listens, so that calls to it fail. */
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
   * Creates the runtime of a controller.
   *
   * @param startNanos the start of this process by the monotonic clock; event times count from it
   */
  public ControllerRuntime(Settings settings, Tuning tuning, long startNanos) {
    this.settings = settings;
    this.startNanos = startNanos;
    this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int hosts = settings.members().size() + 2;
    this.serviceClient = new HttpClient(loop, MAX_CALLS_PER_HOST, hosts * MAX_CALLS_PER_HOST);
    int leadershipHosts = settings.members().size() + 1;
    this.leadershipClient =
        new HttpClient(
            loop, MAX_LEADERSHIP_CALLS_PER_HOST, leadershipHosts * MAX_LEADERSHIP_CALLS_PER_HOST);
    this.workerClient =
        new HttpClient(loop, MAX_CALLS_PER_WORKER, settings.hostLimits().connectionsToWorkers());
    long wallMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    // Distinguishes this process from earlier processes of the same controller. The wall clock may
    // step back, so its time alone is not unique.
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

  /** Starts the servers and the timer. */
  public void start() throws InterruptedException {
    int members = settings.members().size();
    // The connections that all other controllers may open, and a few more for operators and for
    // connections that are just being closed.
    int fromPeers =
        members * (MAX_CALLS_PER_HOST + MAX_LEADERSHIP_CALLS_PER_HOST) + RESERVED_SOCKETS;
    int leadershipConnections = (members + 1) * MAX_LEADERSHIP_CALLS_PER_HOST;
    int toServices = (members + 2) * MAX_CALLS_PER_HOST + leadershipConnections + RESERVED_SOCKETS;
    int fromClients =
        Math.max(
            RESERVED_SOCKETS, settings.hostLimits().connectionsFromClients(fromPeers + toServices));
    HttpServer clients =
        new HttpServer(
            BodyFormat.CBOR,
            (method, path, body, responseSender) ->
                handleRequest(Event.Source.PUBLIC, method, path, body, responseSender),
            fromClients,
            Math.max(
                HttpServer.EVICTABLE_IDLE_MICROS,
                EVICTABLE_IDLE_HEARTBEATS * settings.workers().heartbeatIntervalMicros()));
    HttpServer peers =
        new HttpServer(
            BodyFormat.MESSAGE_PACK,
            (method, path, body, responseSender) ->
                handleRequest(Event.Source.PEER, method, path, body, responseSender),
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
      HttpServer.ResponseSender responseSender) {
    long id = ++lastRequestId;
    pendingResponses.put(id, responseSender);
    handle(new Event.Request(id, source, method, path, body));
  }

  private void handle(Event event) {
    try {
      controller.handle(now(), event).forEach(this::execute);
    } catch (RuntimeException e) {
      // The cluster state may be only partly updated; a new process loads it again from the
      // key-value store.
      LOG.error("controller failed, exiting: event={}", event.getClass().getSimpleName(), e);
      Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    }
  }

  private void execute(Effect effect) {
    // Checked again here: the process may have been paused since the controller decided on the
    // effect.
    boolean expired = effect.notAfterMicros() != Effect.NO_EXPIRY && effect.isExpired(now());
    if (effect instanceof Effect.Respond respond) {
      HttpServer.ResponseSender responseSender = pendingResponses.remove(respond.requestId());
      if (responseSender != null) {
        Effect.Respond response = expired ? respond.expiredResponse() : respond;
        responseSender.send(response.status(), response.body(), response.retryAfterS());
      }
    } else if (effect instanceof Effect.Call call) {
      if (expired) {
        loop.execute(() -> handle(call.unsentReply()));
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

  /** Parses the address that a worker sent; a call to a malformed one fails without a response. */
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
    return target instanceof Target.Cloud ? settings.cloudAddress() : settings.storeAddress();
  }
}
