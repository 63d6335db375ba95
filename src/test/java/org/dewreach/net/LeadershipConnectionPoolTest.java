package org.dewreach.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a leader process on loopback whose key-value store does not respond to user reads. */
@Timeout(60)
class LeadershipConnectionPoolTest {
  /** More than the number of concurrent calls that a controller makes to one host. */
  private static final int QUERIES = 60;

  private static final int MAX_CONNECTIONS = 200;

  @TempDir Path directory;

  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient users = new HttpClient(loop, QUERIES, QUERIES);
  private final UnresponsiveKeyValueStore store = new UnresponsiveKeyValueStore();
  private ControllerProcess controller;

  /**
   * A key-value store that never responds to reads of jobs. It stores nothing, since the leader key
   * is the only key that is ever written. Not thread-safe: used on the event loop only.
   */
  private static final class UnresponsiveKeyValueStore {
    final CompletableFuture<Void> renewed = new CompletableFuture<>();
    int unansweredReads;
    int renewalsSinceLastRead;

    void onRequest(
        String method, String path, JsonNode body, HttpServer.ResponseSender responseSender) {
      if (path.startsWith("/keys/") && path.contains("req-")) {
        unansweredReads++;
        renewalsSinceLastRead = 0;
      } else if (path.startsWith("/keys/")) {
        responseSender.send(404, revision(), 0);
      } else if (path.startsWith("/keys?")) {
        ObjectNode page = revision().put("more", false);
        page.putArray("entries");
        responseSender.send(200, page, 0);
      } else if (path.equals("/commit")) {
        responseSender.send(200, revision(), 0);
      } else if (path.equals("/holds")) {
        responseSender.send(200, Codec.map().put("hold", 1), 0);
      } else if (path.endsWith("/extend")) {
        renewalsSinceLastRead++;
        renewed.complete(null);
        responseSender.send(200, Codec.map(), 0);
      }
      // Watches get no response.
    }

    private static ObjectNode revision() {
      return Codec.map().put("ledger_rev", 1);
    }
  }

  @BeforeEach
  void start() throws Exception {
    int cloudPort =
        ControllerProcess.serve(
            loop,
            (method, path, body, responseSender) -> responseSender.send(503, null, 0),
            MAX_CONNECTIONS);
    int storePort = ControllerProcess.serve(loop, store::onRequest, MAX_CONNECTIONS);
    controller = ControllerProcess.start(directory, cloudPort, storePort, 1000.0, 400);
  }

  @AfterEach
  void stop() throws Exception {
    controller.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against a renewal of the leader lease that queues for a connection behind user reads, so
   * that a slow key-value store makes the leader lose its lease. The store responds to no read;
   * when the first read times out, renewals must have arrived while reads occupied all their
   * connections.
   *
   * <p>Fails without {@code ConnectionPool.LEADERSHIP} in {@code ControllerRuntime.clientFor}.
   */
  @Test
  void leaseRenewalsDoNotQueueBehindUserReads() throws Exception {
    store.renewed.get(30, TimeUnit.SECONDS);
    CompletableFuture<int[]> counts = new CompletableFuture<>();
    loop.execute(
        () -> {
          for (int i = 0; i < QUERIES; i++) {
            users.call(
                controller.clientAddress(),
                BodyFormat.CBOR,
                "GET",
                "/work/req-" + i,
                null,
                20_000_000,
                (status, body) ->
                    counts.complete(
                        new int[] {store.unansweredReads, store.renewalsSinceLastRead}));
          }
        });
    int[] readsAndRenewals = counts.get(30, TimeUnit.SECONDS);
    assertTrue(readsAndRenewals[0] >= 10, "unanswered reads: " + readsAndRenewals[0]);
    assertTrue(
        readsAndRenewals[1] > 0,
        "no lease renewal during " + readsAndRenewals[0] + " unanswered reads");
  }
}
