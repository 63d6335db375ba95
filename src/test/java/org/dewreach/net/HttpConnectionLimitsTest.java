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

/** The sockets that client and server take, on loopback. */
@Timeout(30)
class HttpConnectionLimitsTest {
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Settings.Address serve(int most, long silentMicros) throws InterruptedException {
    HttpServer server =
        new HttpServer(
            BodyFormat.CBOR,
            (m, path, b, reply) -> reply.send(200, Codec.map(), 0),
            most,
            silentMicros);
    Channel channel = server.listen(loop, new Settings.Address("127.0.0.1", 0));
    return new Settings.Address(
        "127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  private CompletableFuture<Integer> call(HttpClient client, Settings.Address to) {
    CompletableFuture<Integer> answer = new CompletableFuture<>();
    loop.execute(
        () ->
            client.call(
                to, BodyFormat.CBOR, "GET", "/", null, 5_000_000, (s, b) -> answer.complete(s)));
    return answer;
  }

  private int open(HttpClient client) throws Exception {
    return loop.submit(client::openConnections).get(5, TimeUnit.SECONDS);
  }

  /**
   * Guards against a connection kept for each of a thousand workers, beside those of their reports.
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
        assertTrue(open(client) <= 3, "open: " + open(client));
      }
    }
    assertEquals(3, open(client), "kept for the next call");
  }

  /** Guards against calls that wait without end, or are lost, when no more may be opened. */
  @Test
  void callBeyondConnectionLimitFailsAtOnce() throws Exception {
    HttpClient client = new HttpClient(loop, 1, 1);
    Settings.Address silent;
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
      silent = new Settings.Address("127.0.0.1", socket.getLocalPort());
      CompletableFuture<Integer> first = call(client, silent);
      assertEquals(0, call(client, serve(10, 0)).get(5, TimeUnit.SECONDS));
      assertTrue(!first.isDone(), "its own time is not up");
    }
  }

  /** Guards against silent connections that keep workers and health checks out. */
  @Test
  void fullServerClosesIdleConnectionForNewOne() throws Exception {
    Settings.Address host = serve(5, 0);
    List<Socket> silent = new ArrayList<>();
    try {
      for (int i = 0; i < 5; i++) {
        silent.add(new Socket(host.host(), host.port()));
      }
      assertEquals(
          200, call(new HttpClient(loop, 1, 1), host).get(5, TimeUnit.SECONDS), "the sixth");
      assertEquals(-1, silent.get(0).getInputStream().read(), "the first was closed");
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }
}
