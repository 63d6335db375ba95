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

/** Starts a controller; the subcommands talk to one. */
@Command(
    name = "dewreach",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {JobCommands.Submit.class, JobCommands.Show.class, JobCommands.Cancel.class},
    description = "Runs one controller of the dewreach cluster scheduler.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:done",
      "1:the controller cannot start, or a request got no useful answer",
      "2:settings, script or command line cannot be used"
    })
public final class Main implements Callable<Integer> {
  /** Settings that cannot be used, as with a wrong command line. */
  static final int BAD_SETTINGS = 2;

  static final int FAILED = 1;

  /** Before anything else is loaded, which takes a while on a small share of a core. */
  private static final long STARTED_NANOS = System.nanoTime();

  /** The server runs on its own thread once main returns. */
  private static boolean started;

  @Option(names = "--config", paramLabel = "FILE", description = "Settings file (TOML).")
  private Path config;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "Operators' own values (Lua); see deploy/operators.lua.")
  private Path script;

  @Option(
      names = "--check",
      description = "Check settings and script, and exit without starting anything.")
  private boolean check;

  @Option(
      names = "--load-classes",
      hidden = true,
      description = "Load all classes and exit (build).")
  private boolean loadClasses;

  /** The version, as the build wrote it into the archive. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"dewreach " + (version == null ? "(development)" : version)};
    }
  }

  /** Runs one command; a controller goes on after this returns. */
  public static void main(String[] args) {
    // Before the first logger: the level is the platform's to choose.
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    // Netty's warnings at start are about machines of other kinds than ours.
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // The one command line that production uses does not need the parser, which takes a quarter of
    // the start: its classes are of a form that the class-data archive leaves out.
    boolean plain = args.length == 2 && args[0].equals("--config");
    int status =
        plain ? new Main().run(Path.of(args[1])) : new CommandLine(new Main()).execute(args);
    if (status != 0 || !started) {
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
      return complain("--config FILE is needed; see --help", BAD_SETTINGS);
    }
    return run(config);
  }

  private int run(Path file) {
    Settings settings;
    Tuning tuning;
    try {
      settings = SettingsReader.read(file);
      // Without a script the interpreter is not even loaded.
      tuning = script == null ? Tuning.DEFAULT : ScriptReader.read(script);
    } catch (SettingsException e) {
      return complain(e.getMessage(), BAD_SETTINGS);
    }
    if (check) {
      System.out.println("settings of " + settings.name() + " can be used");
      return 0;
    }
    try {
      new ControllerRuntime(settings, tuning, STARTED_NANOS).start();
      started = true;
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    } catch (Exception e) {
      // Netty throws the bind failure itself, also where it is a checked exception.
      log().debug("start failed", e);
      return complain(
          "cannot listen: " + e.getMessage() + "; check client_listen and internal_addr", FAILED);
    }
  }

  /** Not a constant: it would be made before the level is set. */
  private static Logger log() {
    return LoggerFactory.getLogger(Main.class);
  }

  static int complain(String what, int status) {
    System.err.println("dewreach: " + what);
    return status;
  }
}
