package org.dewreach.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;

/**
 * A controller in a process of its own, on loopback; the test provides the key-value store and the
 * cloud.
 */
final class ControllerProcess implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";

  private static final String SETTINGS =
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
      rps = %s
      write_rps = 60.0
      value_kb = 8.0
      txn_ops = 24
      [cluster.cloud]
      rps = 4.0
      list_lag_s = 3.0
      [cluster.machine_limits]
      cpu_share = 0.5
      ram_mb = 200.0
      max_connections = %d
      """;

  private final Settings.Address clientAddress;
  private final Settings.Address internalAddress;
  private final Process process;

  private ControllerProcess(
      Settings.Address clientAddress, Settings.Address internalAddress, Process process) {
    this.clientAddress = clientAddress;
    this.internalAddress = internalAddress;
    this.process = process;
  }

  /**
   * Starts a controller; the method returns before the controller is ready.
   *
   * @param directory where its settings file and its log are written
   * @param storeRequestsPerSecond the requests per second that the key-value store allows
   */
  static ControllerProcess start(
      Path directory,
      int cloudPort,
      int storePort,
      double storeRequestsPerSecond,
      int maxConnections)
      throws IOException {
    Settings.Address clientAddress = new Settings.Address(LOOPBACK, freePort());
    Settings.Address internalAddress = new Settings.Address(LOOPBACK, freePort());
    Path settings = directory.resolve("settings.toml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            clientAddress,
            internalAddress,
            cloudPort,
            storePort,
            storeRequestsPerSecond,
            maxConnections));
    Process process =
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
    return new ControllerProcess(clientAddress, internalAddress, process);
  }

  /** Starts a CBOR server on a free loopback port and returns the port. */
  static int serve(EventLoopGroup loop, HttpServer.Handler handler, int maxConnections)
      throws InterruptedException {
    Channel channel =
        new HttpServer(BodyFormat.CBOR, handler, maxConnections)
            .listen(loop, new Settings.Address(LOOPBACK, 0));
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the address for users and workers. */
  Settings.Address clientAddress() {
    return clientAddress;
  }

  /** Returns the address for other controllers and operators. */
  Settings.Address internalAddress() {
    return internalAddress;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
