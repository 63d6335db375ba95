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

/** Client commands: what a user's program would send, from the command line. */
final class JobCommands {
  private static final long TIMEOUT_MICROS = 5_000_000;

  private JobCommands() {}

  /** What the commands have in common. */
  private abstract static class Request implements Callable<Integer> {
    @Option(
        names = "--node",
        required = true,
        paramLabel = "IP:PORT",
        description = "Address of a controller or of the load balancer.")
    private String node;

    int send(String method, String path, JsonNode body) {
      Settings.Address address = address(node);
      if (address == null) {
        return Main.complain("--node: IP:PORT expected", Main.BAD_SETTINGS);
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
                    TIMEOUT_MICROS,
                    (code, answer) -> status.complete(tell(code, answer))));
        return status.get();
      } catch (ExecutionException e) {
        return Main.complain("request failed: " + e.getCause(), Main.FAILED);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Main.FAILED;
      } finally {
        loop.shutdownGracefully();
      }
    }

    private static Settings.Address address(String text) {
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

    private static int tell(int code, JsonNode answer) {
      if (code == HttpStatus.OK || code == HttpStatus.CREATED) {
        System.out.println(answer);
        return 0;
      }
      String why =
          switch (code) {
            case 0 -> "no answer";
            case HttpStatus.BAD_REQUEST -> "malformed";
            case HttpStatus.NOT_FOUND -> "no such job";
            case HttpStatus.UNPROCESSABLE -> "can never run";
            case HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE ->
                "not now; try again in a second or two";
            default -> "status " + code;
          };
      boolean told = answer != null && answer.path("error").isTextual();
      return Main.complain(why + (told ? ": " + answer.get("error").textValue() : ""), Main.FAILED);
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
        // The same check as the controller's, but with the reason.
        JobSpec.parse(body);
        return send("POST", "/work", body);
      } catch (JsonProcessingException e) {
        return Main.complain(file + ": not JSON", Main.BAD_SETTINGS);
      } catch (IOException e) {
        return Main.complain(file + ": cannot be read", Main.BAD_SETTINGS);
      } catch (MalformedException e) {
        return Main.complain(file + ": " + e.getMessage(), Main.BAD_SETTINGS);
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
          : Main.complain("not a job id: " + id, Main.BAD_SETTINGS);
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
          : Main.complain("not a job id: " + id, Main.BAD_SETTINGS);
    }
  }
}
