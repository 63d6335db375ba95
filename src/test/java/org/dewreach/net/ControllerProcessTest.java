package org.dewreach.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
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

/**
 * Tests the program end to end as a process on loopback, with minimal servers in place of the
 * key-value store and the cloud.
 */
@Timeout(60)
class ControllerProcessTest {
  private static final int MAX_CONNECTIONS = 100;

  @TempDir static Path directory;

  private static EventLoopGroup loop;
  private static HttpClient client;
  private static ControllerProcess controller;

  /** A minimal key-value store: enough for a single controller and no faults. */
  private static final class KeyValueStoreServer {
    final Map<String, ObjectNode> keys = new HashMap<>();
    long revision;

    void onRequest(
        String method, String path, JsonNode body, HttpServer.ResponseSender responseSender) {
      if (path.startsWith("/keys/")) {
        ObjectNode found = keys.get(path.substring(6));
        responseSender.send(found == null ? 404 : 200, found == null ? revision() : found, 0);
      } else if (path.startsWith("/keys?")) {
        ObjectNode page = revision().put("more", false);
        page.putArray("entries");
        responseSender.send(200, page, 0);
      } else if (path.equals("/commit")) {
        for (JsonNode condition : body.path("when")) {
          ObjectNode found = keys.get(condition.path("path").asText());
          if ((found == null ? 0 : found.path("stamp").asLong())
              != condition.path("stamp").asLong()) {
            ObjectNode failure = revision();
            failure.putArray("failed").add(condition.path("path").asText());
            responseSender.send(409, failure, 0);
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
        responseSender.send(200, revision(), 0);
      } else {
        responseSender.send(200, Codec.map().put("hold", 1), 0);
      }
    }

    private ObjectNode revision() {
      return Codec.map().put("ledger_rev", revision);
    }
  }

  private static void serveCloud(
      String method, String path, JsonNode body, HttpServer.ResponseSender responseSender) {
    if (path.equals("/catalog")) {
      MachineType type = new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5_000_000, List.of("a"));
      responseSender.send(200, MachineType.catalogNode(List.of(type)), 0);
    } else {
      ObjectNode hosts = Codec.map().put("more", false);
      hosts.putArray("hosts");
      responseSender.send(200, hosts, 0);
    }
  }

  @BeforeAll
  static void start() throws Exception {
    loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(loop, 8, 32);
    KeyValueStoreServer store = new KeyValueStoreServer();
    int cloudPort =
        ControllerProcess.serve(loop, ControllerProcessTest::serveCloud, MAX_CONNECTIONS);
    int storePort = ControllerProcess.serve(loop, store::onRequest, MAX_CONNECTIONS);
    controller = ControllerProcess.start(directory, cloudPort, storePort, 250.0, 80);
    for (int i = 0; i < 800 && !isActive(); i++) {
      Thread.sleep(50);
    }
  }

  @AfterAll
  static void stop() throws Exception {
    controller.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static boolean isActive() throws Exception {
    JsonNode stats =
        call(controller.internalAddress(), BodyFormat.MESSAGE_PACK, "GET", "/stats", null).body();
    return stats != null && stats.path("fleet").path("phase").asText().equals("ACTIVE");
  }

  private record Response(int status, JsonNode body) {}

  private static Response call(
      Settings.Address address, BodyFormat format, String method, String path, JsonNode body)
      throws Exception {
    CompletableFuture<Response> response = new CompletableFuture<>();
    loop.execute(
        () ->
            client.call(
                address,
                format,
                method,
                path,
                body,
                5_000_000,
                (status, received) -> response.complete(new Response(status, received))));
    return response.get(10, TimeUnit.SECONDS);
  }

  private static int status(String method, String path, JsonNode body) throws Exception {
    return call(controller.clientAddress(), BodyFormat.CBOR, method, path, body).status();
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
  void servesUserApi() throws Exception {
    assertEquals(200, status("GET", "/ready", null));
    assertEquals(201, status("POST", "/work", job("req-100")));
    assertEquals(200, status("POST", "/work", job("req-100")), "repeated submission");
    assertEquals(
        "pending",
        call(controller.clientAddress(), BodyFormat.CBOR, "GET", "/work/req-100", null)
            .body()
            .path("standing")
            .asText());
    Response cancelled =
        call(controller.clientAddress(), BodyFormat.CBOR, "POST", "/work/req-100/abort", null);
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
  void servesStatsAtInternalAddress() throws Exception {
    JsonNode stats =
        call(controller.internalAddress(), BodyFormat.MESSAGE_PACK, "GET", "/stats", null).body();
    assertEquals("LEADING", stats.path("election").asText());
    assertTrue(stats.path("users").path("limit").asInt() > 0, stats.toString());
  }

  /** Guards against malformed input that ends the process or is answered with a stack trace. */
  @Test
  void malformedRequestsAreRejectedAndDoNotEndProcess() throws Exception {
    Random random = new Random(7);
    for (int i = 0; i < 150; i++) {
      byte[] body = new byte[random.nextInt(300)];
      random.nextBytes(body);
      if (i % 3 == 0) {
        byte[] valid = Codec.write(job("req-" + i));
        body = Arrays.copyOf(valid, random.nextInt(valid.length));
      } else if (i % 3 == 1) {
        body = new byte[4_000];
        Arrays.fill(body, (byte) 0x81);
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
      try (Socket socket =
          new Socket(controller.clientAddress().host(), controller.clientAddress().port())) {
        socket.setSoTimeout(3_000);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
        String response = firstBytes(socket.getInputStream());
        assertTrue(response.startsWith("HTTP/1.1 400"), i + ": " + response);
        assertTrue(!response.contains("Exception"), response);
      }
    }
    assertTrue(controller.isAlive());
    assertEquals(200, status("GET", "/ready", null));
  }

  private static String firstBytes(InputStream in) throws IOException {
    try {
      return new String(in.readNBytes(400), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException e) {
      return "no response";
    }
  }

  /** Guards against idle connections that occupy all sockets permanently. */
  @Test
  void healthChecksSucceedAfterConnectionFlood() throws Exception {
    List<Socket> flood = new ArrayList<>();
    try {
      for (int i = 0; i < 120; i++) {
        flood.add(new Socket(controller.clientAddress().host(), controller.clientAddress().port()));
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
    assertTrue(controller.isAlive());
  }
}
