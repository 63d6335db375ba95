package org.dewreach.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.dewreach.config.Settings;
import org.dewreach.net.BodyFormat;
import org.dewreach.net.HttpClient;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Client commands, which send users' requests from the command line. */
final class JobCommands {
  private static final long REQUEST_TIMEOUT_MICROS = 5_000_000;

  private JobCommands() {}

  /** The option and the HTTP exchange that all client commands share. */
  private abstract static class Request implements Callable<Integer> {
    @Option(
        names = "--node",
        required = true,
        paramLabel = "IP:PORT",
        description = "Address of a controller or of the load balancer.")
    private String controllerAddress;

    int send(String method, String path, JsonNode body) {
      Settings.Address address = parseAddress(controllerAddress);
      if (address == null) {
        return Main.printError("--node: IP:PORT expected", Main.EXIT_USAGE);
      }
      EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      try {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        HttpClient client = new HttpClient(loop, 1, 1);
        loop.execute(
            () ->
                client.call(
                    address,
                    BodyFormat.CBOR,
                    method,
                    path,
                    body,
                    REQUEST_TIMEOUT_MICROS,
                    (code, response) -> status.complete(printResponse(code, response))));
        return status.get();
      } catch (ExecutionException e) {
        return Main.printError("request failed: " + e.getCause(), Main.EXIT_FAILURE);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Main.EXIT_FAILURE;
      } finally {
        loop.shutdownGracefully();
      }
    }

    private static Settings.Address parseAddress(String text) {
      int colon = text.lastIndexOf(':');
      try {
        return colon <= 0
            ? null
            : new Settings.Address(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
      } catch (NumberFormatException e) {
        return null;
      }
    }

    private static int printResponse(int code, JsonNode response) {
      if (code == HttpStatus.OK || code == HttpStatus.CREATED) {
        System.out.println(response);
        return 0;
      }
      String problem =
          switch (code) {
            case 0 -> "no response";
            case HttpStatus.BAD_REQUEST -> "malformed request";
            case HttpStatus.NOT_FOUND -> "no such job";
            case HttpStatus.UNPROCESSABLE -> "can never run";
            case HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE ->
                "temporarily unavailable; retry in a few seconds";
            default -> "status " + code;
          };
      boolean hasReason = response != null && response.path("error").isTextual();
      return Main.printError(
          problem + (hasReason ? ": " + response.get("error").textValue() : ""), Main.EXIT_FAILURE);
    }
  }

  /** Submits a job. */
  @Command(
      name = "submit",
      mixinStandardHelpOptions = true,
      description = "Submits the job that a JSON file describes.")
  static final class Submit extends Request {
    @Parameters(paramLabel = "FILE", description = "The job, with the fields of POST /work.")
    private Path file;

    @Override
    public Integer call() {
      try {
        JsonNode body = new ObjectMapper().readTree(Files.readString(file));
        // The same validation as in the controller, with the reason for a rejection.
        JobSpec.parse(body);
        return send("POST", "/work", body);
      } catch (JsonProcessingException e) {
        return Main.printError(file + ": not JSON", Main.EXIT_USAGE);
      } catch (IOException e) {
        return Main.printError(file + ": cannot be read", Main.EXIT_USAGE);
      } catch (MalformedException e) {
        return Main.printError(file + ": " + e.getMessage(), Main.EXIT_USAGE);
      }
    }
  }

  /** Shows a job. */
  @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows a job's state.")
  static final class Show extends Request {
    @Parameters(paramLabel = "JOB", description = "Job id.")
    private String id;

    @Override
    public Integer call() {
      return JobSpec.isId(id)
          ? send("GET", "/work/" + id, null)
          : Main.printError("not a job id: " + id, Main.EXIT_USAGE);
    }
  }

  /** Cancels a job. */
  @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
  static final class Cancel extends Request {
    @Parameters(paramLabel = "JOB", description = "Job id.")
    private String id;

    @Override
    public Integer call() {
      return JobSpec.isId(id)
          ? send("POST", "/work/" + id + "/abort", null)
          : Main.printError("not a job id: " + id, Main.EXIT_USAGE);
    }
  }
}
