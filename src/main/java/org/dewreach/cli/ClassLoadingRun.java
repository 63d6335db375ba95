package org.dewreach.cli;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.dewreach.config.Settings;
import org.dewreach.config.SettingsException;
import org.dewreach.config.SettingsReader;
import org.dewreach.config.Tuning;
import org.dewreach.controller.Controller;
import org.dewreach.net.BodyFormat;
import org.dewreach.net.HttpClient;
import org.dewreach.net.HttpServer;
import org.dewreach.port.Event;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the classes that a controller needs, so that the build can record them in the class-data
 * archive beside the jar.
 *
 * <p>Start-up and serving share the same small part of a core: halving the start-up time halves the
 * outage of a controller that restarts. The run uses the network on the loopback interface only.
 */
final class ClassLoadingRun {
  private static final Logger LOG = LoggerFactory.getLogger(ClassLoadingRun.class);
  private static final String CLASS_SUFFIX = ".class";
  private static final int MAX_CONNECTIONS = 10;
  private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
  private static final long MAX_RESPONSE_WAIT_S = 3;
  private static final double SAMPLE_NUMBER = 1.5;

  private static final String SETTINGS =
      """
      host_name = "class-loading"
      location = "a"
      client_listen = "127.0.0.1:1"
      internal_addr = "127.0.0.1:1"
      [external]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:1"
      [cluster]
      zones = ["a"]
      time_bound_ms = 1.0
      [[cluster.teams]]
      name = "t"
      cpus = 1.0
      cpus_max = 1.0
      gpus = 0.0
      gpus_max = 0.0
      [cluster.workers]
      report_s = 1.0
      lease_s = 10.0
      cancel_s = 30.0
      [cluster.state]
      rps = 10.0
      write_rps = 10.0
      value_kb = 8.0
      txn_ops = 8
      [cluster.cloud]
      rps = 1.0
      list_lag_s = 1.0
      [cluster.machine_limits]
      cpu_share = 1.0
      ram_mb = 100.0
      max_connections = 100
      """;

  private ClassLoadingRun() {}

  static void run() {
    try {
      loadOwnClasses();
      Settings settings = SettingsReader.parse(SETTINGS);
      Controller controller =
          new Controller(settings, Tuning.DEFAULT, "class-loading", new Random(1), 0);
      controller.handle(0, new Event.Tick());
      exchangeRequests();
    } catch (IOException
        | URISyntaxException
        | SettingsException
        | ReflectiveOperationException e) {
      LOG.warn("class loading incomplete: cause=\"{}\"", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void loadOwnClasses()
      throws IOException, URISyntaxException, ReflectiveOperationException {
    Path jar =
        Path.of(ClassLoadingRun.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (JarFile file = new JarFile(jar.toFile())) {
      for (JarEntry entry : (Iterable<JarEntry>) file.stream()::iterator) {
        String name = entry.getName();
        if (name.startsWith("org/dewreach/")
            && name.endsWith(CLASS_SUFFIX)
            && !name.endsWith("package-info.class")
            && !name.startsWith("org/dewreach/script/")) {
          Class.forName(name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.'));
        }
      }
    }
  }

  /** Exchanges a request in each body format, through the server and client of production. */
  private static void exchangeRequests() throws InterruptedException {
    EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      for (BodyFormat format : BodyFormat.values()) {
        HttpServer server =
            new HttpServer(
                format,
                (method, path, body, responseSender) -> responseSender.send(HttpStatus.OK, body, 1),
                MAX_CONNECTIONS);
        Channel channel = server.listen(loop, new Settings.Address("127.0.0.1", 0));
        int port = ((InetSocketAddress) channel.localAddress()).getPort();
        CountDownLatch responded = new CountDownLatch(1);
        loop.execute(
            () ->
                new HttpClient(loop, 2, 2)
                    .call(
                        new Settings.Address("127.0.0.1", port),
                        format,
                        "POST",
                        "/work",
                        Codec.map().put("text", "x").put("number", SAMPLE_NUMBER).put("count", 1),
                        REQUEST_TIMEOUT_MICROS,
                        (status, body) -> responded.countDown()));
        responded.await(MAX_RESPONSE_WAIT_S, TimeUnit.SECONDS);
      }
    } finally {
      loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS);
    }
  }
}
