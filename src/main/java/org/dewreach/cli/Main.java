package org.dewreach.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.dewreach.config.Settings;
import org.dewreach.config.SettingsException;
import org.dewreach.config.SettingsReader;
import org.dewreach.config.Tuning;
import org.dewreach.net.ControllerRuntime;
import org.dewreach.script.ScriptReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts a controller; the subcommands send requests to one. */
@Command(
    name = "dewreach",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {JobCommands.Submit.class, JobCommands.Show.class, JobCommands.Cancel.class},
    description = "Runs one controller of the dewreach cluster scheduler.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:success",
      "1:the controller cannot start, or a request failed",
      "2:settings, script or command line are invalid"
    })
public final class Main implements Callable<Integer> {
  /** Exit code for invalid settings, as for an invalid command line. */
  static final int EXIT_USAGE = 2;

  /** Exit code for a controller that cannot start, or a failed request. */
  static final int EXIT_FAILURE = 1;

  /**
   * The start of the process. The clock is read before other classes are loaded, which takes a
   * while on a small share of a core.
   */
  private static final long STARTED_NANOS = System.nanoTime();

  /** True once the controller runs; its event loop thread continues after main returns. */
  private static boolean controllerStarted;

  @Option(names = "--config", paramLabel = "FILE", description = "Settings file (TOML).")
  private Path config;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "Tuning parameters of the operators (Lua); see deploy/operators.lua.")
  private Path script;

  @Option(
      names = "--check",
      description = "Validate settings and script, and exit without starting the controller.")
  private boolean check;

  @Option(
      names = "--load-classes",
      hidden = true,
      description = "Load all classes and exit; for the class-data archive of the build.")
  private boolean loadClasses;

  /** Provides the version that the build wrote into the jar's manifest. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"dewreach " + (version == null ? "(development)" : version)};
    }
  }

  /** Runs one command; a controller continues to run after this method returns. */
  public static void main(String[] args) {
    // Must precede the creation of the first logger; the environment determines the level.
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    // Netty's warnings at start-up concern platforms that controllers do not run on.
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // The command line of production bypasses the parser, which takes a quarter of the start-up
    // time: its classes have a form that the class-data archive excludes.
    boolean bypassParser = args.length == 2 && args[0].equals("--config");
    int status =
        bypassParser ? new Main().run(Path.of(args[1])) : new CommandLine(new Main()).execute(args);
    if (status != 0 || !controllerStarted) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() {
    if (loadClasses) {
      ClassLoadingRun.run();
      return 0;
    }
    if (config == null) {
      return printError("--config FILE is required; see --help", EXIT_USAGE);
    }
    return run(config);
  }

  private int run(Path file) {
    Settings settings;
    Tuning tuning;
    try {
      settings = SettingsReader.read(file);
      // Without a script, the classes of the Lua interpreter are not loaded.
      tuning = script == null ? Tuning.DEFAULT : ScriptReader.read(script);
    } catch (SettingsException e) {
      return printError(e.getMessage(), EXIT_USAGE);
    }
    if (check) {
      System.out.println("settings of " + settings.name() + " are valid");
      return 0;
    }
    try {
      new ControllerRuntime(settings, tuning, STARTED_NANOS).start();
      controllerStarted = true;
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILURE;
    } catch (Exception e) {
      // Netty rethrows the bind failure as it is, even if it is an undeclared checked exception.
      log().debug("start failed", e);
      return printError(
          "cannot listen: " + e.getMessage() + "; check client_listen and internal_addr",
          EXIT_FAILURE);
    }
  }

  /** Returns the logger. A static field would create it before the level is set. */
  private static Logger log() {
    return LoggerFactory.getLogger(Main.class);
  }

  static int printError(String message, int status) {
    System.err.println("dewreach: " + message);
    return status;
  }
}
