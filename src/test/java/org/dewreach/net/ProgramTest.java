package org.dewreach.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The real program as a process on loopback, against delegates for state service and cloud. */
@Timeout(60)
class ProgramTest {
  @TempDir static Path directory;

  private static EventLoopGroup loop;
  private static HttpClient client;
  private static Process process;
  private static Settings.Address node;
  private static Settings.Address inner;

  /** Just enough of a state service for one controller that nothing goes wrong for. */
  private static final class State {
    final Map<String, ObjectNode> keys = new HashMap<>();
    long revision;

    void on(String method, String path, JsonNode body, HttpServer.Reply reply) {
      if (path.startsWith("/keys/")) {
        ObjectNode found = keys.get(path.substring(6));
        reply.send(found == null ? 404 : 200, found == null ? revision() : found, 0);
      } else if (path.startsWith("/keys?")) {
        ObjectNode answer = revision().put("more", false);
        answer.putArray("entries");
        reply.send(200, answer, 0);
      } else if (path.equals("/commit")) {
        for (JsonNode condition : body.path("when")) {
          ObjectNode found = keys.get(condition.path("path").asText());
          if ((found == null ? 0 : found.path("stamp").asLong())
              != condition.path("stamp").asLong()) {
            ObjectNode failure = revision();
            failure.putArray("failed").add(condition.path("path").asText());
            reply.send(409, failure, 0);
            return;
          }
        }
        revision++;
        for (JsonNode op : body.path("then")) {
          if (op.has("put")) {
            ObjectNode value =
                Codec.map().put("stamp", revision).put("hold", op.path("hold").asLong(0));
            value.set("data", op.get("data"));
            keys.put(op.path("put").asText(), value);
          } else {
            keys.remove(op.path("remove").asText());
          }
        }
        reply.send(200, revision(), 0);
      } else {
        reply.send(200, Codec.map().put("hold", 1), 0);
      }
    }

    private ObjectNode revision() {
      return Codec.map().put("ledger_rev", revision);
    }
  }

  private static void cloud(String method, String path, JsonNode body, HttpServer.Reply reply) {
    if (path.equals("/catalog")) {
      MachineType type =
          new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5_000_000, java.util.List.of("a"));
      reply.send(200, MachineType.catalogNode(java.util.List.of(type)), 0);
    } else {
      ObjectNode hosts = Codec.map().put("more", false);
      hosts.putArray("hosts");
      reply.send(200, hosts, 0);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static int serve(HttpServer.Handler handler) throws InterruptedException {
    Channel channel =
        new HttpServer(Bodies.CBOR, handler, 100)
            .listen(loop, new Settings.Address("127.0.0.1", 0));
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @BeforeAll
  static void start() throws Exception {
    loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(loop, 8, 32);
    State state = new State();
    node = new Settings.Address("127.0.0.1", freePort());
    inner = new Settings.Address("127.0.0.1", freePort());
    Path settings = directory.resolve("settings.toml");
    Files.writeString(
        settings,
        """
        host_name = "n0"
        location = "a"
        client_listen = "%s"
        internal_addr = "%s"
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
        rps = 250.0
        write_rps = 60.0
        value_kb = 8.0
        txn_ops = 24
        [cluster.cloud]
        rps = 4.0
        list_lag_s = 3.0
        [cluster.machine_limits]
        cpu_share = 0.5
        ram_mb = 200.0
        max_connections = 80
        """
            .formatted(node, inner, serve(ProgramTest::cloud), serve(state::on)));
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
    for (int i = 0; i < 800 && !active(); i++) {
      Thread.sleep(50);
    }
  }

  @AfterAll
  static void stop() throws Exception {
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static boolean active() throws Exception {
    JsonNode stats = ask(inner, Bodies.MESSAGE_PACK, "GET", "/stats", null).body();
    return stats != null && stats.path("fleet").path("phase").asText().equals("ACTIVE");
  }

  private record Responder(int status, JsonNode body) {}

  private static Responder ask(
      Settings.Address to, Bodies bodies, String method, String path, JsonNode body)
      throws Exception {
    CompletableFuture<Responder> answer = new CompletableFuture<>();
    loop.execute(
        () ->
            client.call(
                to,
                bodies,
                method,
                path,
                body,
                5_000_000,
                (status, got) -> answer.complete(new Responder(status, got))));
    return answer.get(10, TimeUnit.SECONDS);
  }

  private static int status(String method, String path, JsonNode body) throws Exception {
    return ask(node, Bodies.CBOR, method, path, body).status();
  }

  private static ObjectNode job(String id) throws IOException {
    return (ObjectNode)
        new ObjectMapper()
            .readTree(
                """
                {"uid":"%s","lane":"l","desk":"red","shape":"sweep","urgency":"high","pieces":2,
                 "cpus":2.0,"cards":0.0,"memory_gb":1.0,"bundle":"i","pull_gb":1.0,
                 "together":false,"scatter":false,"loaners":true,"expected_s":10.0,
                 "mark_every_s":0.0,"mark_cost_s":0.0}
                """
                    .formatted(id));
  }

  @Test
  void answersUsersAsTheProtocolSays() throws Exception {
    assertEquals(200, status("GET", "/ready", null));
    assertEquals(201, status("POST", "/work", job("req-100")));
    assertEquals(200, status("POST", "/work", job("req-100")), "known already");
    assertEquals(
        "pending",
        ask(node, Bodies.CBOR, "GET", "/work/req-100", null).body().path("standing").asText());
    Responder cancelled = ask(node, Bodies.CBOR, "POST", "/work/req-100/abort", null);
    assertEquals("withdrawn", cancelled.body().path("standing").asText());
    assertEquals(400, status("POST", "/work", Codec.map().put("uid", "req-101")));
    assertEquals(400, status("POST", "/work", null));
    assertEquals(422, status("POST", "/work", job("req-102").put("desk", "blue")));
    assertEquals(422, status("POST", "/work", job("req-103").put("cpus", 9.0)));
    assertEquals(422, status("POST", "/work", job("req-104").put("site", "elsewhere")));
    assertEquals(404, status("GET", "/work/req-999", null));
    assertEquals(404, status("GET", "/work/../../x", null));
    assertEquals(404, status("PUT", "/other", null));
    assertEquals(400, status("POST", "/work", job("req-105").put("lane", "x".repeat(70_000))));
  }

  @Test
  void tellsItsNumbersAtTheInternalAddress() throws Exception {
    JsonNode stats = ask(inner, Bodies.MESSAGE_PACK, "GET", "/stats", null).body();
    assertEquals("LEADING", stats.path("election").asText());
    assertTrue(stats.path("users").path("limit").asInt() > 0, stats.toString());
  }

  /** Guards against bytes from outside that end the process, or get a stack trace back. */
  @Test
  void survivesGarbage() throws Exception {
    Random random = new Random(7);
    for (int i = 0; i < 150; i++) {
      byte[] body = new byte[random.nextInt(300)];
      random.nextBytes(body);
      if (i % 3 == 0) {
        byte[] good = Codec.write(job("req-" + i));
        body = java.util.Arrays.copyOf(good, random.nextInt(good.length));
      } else if (i % 3 == 1) {
        body = new byte[4_000];
        java.util.Arrays.fill(body, (byte) 0x81);
      }
      String path = i % 2 == 0 ? "/work" : "/hello";
      String head =
          i % 11 == 0
              ? "GARBAGE\0\r\n\r\n"
              : "POST "
                  + path
                  + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                  + body.length
                  + "\r\n\r\n";
      try (Socket socket = new Socket(node.host(), node.port())) {
        socket.setSoTimeout(3_000);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
        String answer = firstBytes(socket.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 400"), i + ": " + answer);
        assertTrue(!answer.contains("Exception"), answer);
      }
    }
    assertTrue(process.isAlive());
    assertEquals(200, status("GET", "/ready", null));
  }

  private static String firstBytes(InputStream in) throws IOException {
    try {
      return new String(in.readNBytes(400), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException e) {
      return "no answer";
    }
  }

  /** Guards against silent connections taking all sockets for good. */
  @Test
  void aFloodOfConnectionsLeavesHealthChecksAlive() throws Exception {
    java.util.List<Socket> flood = new java.util.ArrayList<>();
    try {
      for (int i = 0; i < 120; i++) {
        flood.add(new Socket(node.host(), node.port()));
      }
    } finally {
      for (Socket socket : flood) {
        socket.close();
      }
    }
    for (int i = 0; i < 100 && status("GET", "/ready", null) != 200; i++) {
      Thread.sleep(20);
    }
    assertEquals(200, status("GET", "/ready", null));
    assertTrue(process.isAlive());
  }
}
