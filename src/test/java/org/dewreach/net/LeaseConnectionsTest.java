package org.dewreach.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real leader on loopback, with a state service that leaves the reads of users unanswered. */
@Timeout(60)
class LeaseConnectionsTest {
  /** More than a node sends to one host at a time. */
  private static final int QUESTIONS = 60;

  @TempDir Path directory;

  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient users = new HttpClient(loop, QUESTIONS, QUESTIONS);
  private final SlowState state = new SlowState();
  private Settings.Address node;
  private Process process;

  /** A state service in which nothing but the leader key is ever written; used on its loop only. */
  private static final class SlowState {
    final CompletableFuture<Void> extended = new CompletableFuture<>();
    int readsHeld;
    int extensionsSinceLastRead;

    void on(String method, String path, JsonNode body, HttpServer.Reply reply) {
      if (path.startsWith("/keys/") && path.contains("req-")) {
        readsHeld++;
        extensionsSinceLastRead = 0;
      } else if (path.startsWith("/keys/")) {
        reply.send(404, revision(), 0);
      } else if (path.startsWith("/keys?")) {
        ObjectNode page = revision().put("more", false);
        page.putArray("entries");
        reply.send(200, page, 0);
      } else if (path.equals("/commit")) {
        reply.send(200, revision(), 0);
      } else if (path.equals("/holds")) {
        reply.send(200, Codec.map().put("hold", 1), 0);
      } else if (path.endsWith("/extend")) {
        extensionsSinceLastRead++;
        extended.complete(null);
        reply.send(200, Codec.map(), 0);
      }
      // Watches stay open.
    }

    private static ObjectNode revision() {
      return Codec.map().put("ledger_rev", 1);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private int serve(HttpServer.Handler handler) throws InterruptedException {
    Channel channel =
        new HttpServer(Bodies.CBOR, handler, 200)
            .listen(loop, new Settings.Address("127.0.0.1", 0));
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @BeforeEach
  void start() throws Exception {
    node = new Settings.Address("127.0.0.1", freePort());
    Path settings = directory.resolve("settings.toml");
    Files.writeString(
        settings,
        """
        host_name = "n0"
        location = "a"
        client_listen = "%s"
        internal_addr = "127.0.0.1:%d"
        [external]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [cluster]
        zones = ["a"]
        time_bound_ms = 100.0
        [[cluster.teams]]
        name = "red"
        cpus = 4.0
        cpus_max = 10.0
        gpus = 0.0
        gpus_max = 0.0
        [cluster.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 30.0
        [cluster.state]
        rps = 1000.0
        write_rps = 60.0
        value_kb = 8.0
        txn_ops = 24
        [cluster.cloud]
        rps = 4.0
        list_lag_s = 3.0
        [cluster.machine_limits]
        cpu_share = 0.5
        ram_mb = 200.0
        max_connections = 400
        """
            .formatted(
                node,
                freePort(),
                serve((method, path, body, reply) -> reply.send(503, null, 0)),
                serve(state::on)));
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.dewreach.cli.Main",
                "--config",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("log").toFile())
            .start();
  }

  @AfterEach
  void stop() throws Exception {
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against a renewal of the hold that waits for a connection behind users' reads, while a
   * slow state service costs the lead. No read ends before the node gives the first one up, and by
   * then extensions came while all connections for reads were taken.
   *
   * <p>Guard: {@code ConnectionPool.LEADERSHIP} in {@code Node.client}.
   */
  @Test
  void renewalsDoNotWaitBehindUsersReads() throws Exception {
    state.extended.get(30, TimeUnit.SECONDS);
    CompletableFuture<int[]> seen = new CompletableFuture<>();
    loop.execute(
        () -> {
          for (int i = 0; i < QUESTIONS; i++) {
            users.call(
                node,
                Bodies.CBOR,
                "GET",
                "/work/req-" + i,
                null,
                20_000_000,
                (status, body) ->
                    seen.complete(new int[] {state.readsHeld, state.extensionsSinceLastRead}));
          }
        });
    int[] readsAndExtensions = seen.get(30, TimeUnit.SECONDS);
    assertTrue(readsAndExtensions[0] >= 10, "reads held: " + readsAndExtensions[0]);
    assertTrue(
        readsAndExtensions[1] > 0, "no extension while " + readsAndExtensions[0] + " waited");
  }
}
