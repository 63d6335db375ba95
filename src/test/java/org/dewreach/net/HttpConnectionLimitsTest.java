package org.dewreach.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the connection limits of the HTTP client and server over loopback. */
@Timeout(30)
class HttpConnectionLimitsTest {
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Settings.Address serve(int maxConnections, long evictableIdleMicros)
      throws InterruptedException {
    HttpServer server =
        new HttpServer(
            BodyFormat.CBOR,
            (method, path, body, responseSender) -> responseSender.send(200, Codec.map(), 0),
            maxConnections,
            evictableIdleMicros);
    Channel channel = server.listen(loop, new Settings.Address("127.0.0.1", 0));
    return new Settings.Address(
        "127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  private CompletableFuture<Integer> call(HttpClient client, Settings.Address address) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    loop.execute(
        () ->
            client.call(
                address,
                BodyFormat.CBOR,
                "GET",
                "/",
                null,
                5_000_000,
                (code, body) -> status.complete(code)));
    return status;
  }

  private int openConnections(HttpClient client) throws Exception {
    return loop.submit(client::openConnections).get(5, TimeUnit.SECONDS);
  }

  /**
   * Guards against keeping an idle connection to each of a thousand workers in addition to the
   * connections on which they send heartbeats.
   */
  @Test
  void idleConnectionsAreClosedForCallsToOtherHosts() throws Exception {
    HttpClient client = new HttpClient(loop, 2, 3);
    List<Settings.Address> hosts = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      hosts.add(serve(10, HttpServer.EVICTABLE_IDLE_MICROS));
    }
    for (int round = 0; round < 2; round++) {
      for (Settings.Address host : hosts) {
        assertEquals(200, call(client, host).get(5, TimeUnit.SECONDS));
        assertTrue(openConnections(client) <= 3, "open: " + openConnections(client));
      }
    }
    assertEquals(3, openConnections(client), "idle connections kept for reuse");
  }

  /** Guards against calls that wait forever or are lost when no more connections may be opened. */
  @Test
  void callBeyondConnectionLimitFailsAtOnce() throws Exception {
    HttpClient client = new HttpClient(loop, 1, 1);
    Settings.Address unresponsive;
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
      unresponsive = new Settings.Address("127.0.0.1", socket.getLocalPort());
      CompletableFuture<Integer> first = call(client, unresponsive);
      assertEquals(0, call(client, serve(10, 0)).get(5, TimeUnit.SECONDS));
      assertTrue(!first.isDone(), "the first call has not timed out yet");
    }
  }

  /** Guards against idle connections that lock out workers and health checks. */
  @Test
  void fullServerClosesIdleConnectionForNewOne() throws Exception {
    Settings.Address host = serve(5, 0);
    List<Socket> idleSockets = new ArrayList<>();
    try {
      for (int i = 0; i < 5; i++) {
        idleSockets.add(new Socket(host.host(), host.port()));
      }
      assertEquals(
          200,
          call(new HttpClient(loop, 1, 1), host).get(5, TimeUnit.SECONDS),
          "a connection beyond the limit of five is accepted");
      assertEquals(
          -1, idleSockets.get(0).getInputStream().read(), "the longest idle connection was closed");
    } finally {
      for (Socket socket : idleSockets) {
        socket.close();
      }
    }
  }
}
