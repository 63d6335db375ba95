package org.dewreach.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.dewreach.config.Settings;
import org.dewreach.config.SettingsException;
import org.dewreach.config.SettingsReader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts a controller. */
@Command(
    name = "dewreach",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "Runs one controller of the dewreach cluster scheduler.")
public final class Main implements Callable<Integer> {
  /** Settings that cannot be used, as with a wrong command line. */
  private static final int BAD_SETTINGS = 2;

  private static final int CANNOT_START = 1;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "Settings file (TOML).")
  private Path config;

  @Option(
      names = "--check",
      description = "Check the settings, print the outcome and exit without starting anything.")
  private boolean check;

  @Option(names = "--rehearse", hidden = true, description = "Load all classes and exit (build).")
  private boolean rehearse;

  /** The version, as the build wrote it into the archive. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"dewreach " + (version == null ? "(development)" : version)};
    }
  }

  public static void main(String[] args) {
    // Before the first logger: the level is the platform's to choose.
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    int status = new CommandLine(new Main()).execute(args);
    if (status != 0 || !started) {
      System.exit(status);
    }
  }

  /** The server runs on its own thread once main returns. */
  private static boolean started;

  @Override
  public Integer call() {
    if (rehearse) {
      Rehearsal.run();
      return 0;
    }
    if (config == null) {
      System.err.println("dewreach: --config FILE is needed; see --help");
      return BAD_SETTINGS;
    }
    Settings settings;
    try {
      settings = SettingsReader.read(config);
    } catch (SettingsException e) {
      System.err.println("dewreach: " + e.getMessage());
      return BAD_SETTINGS;
    }
    if (check) {
      System.out.println("settings of " + settings.name() + " can be used");
      return 0;
    }
    try {
      new org.dewreach.net.Node(settings).start();
      started = true;
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CANNOT_START;
    } catch (Exception e) {
      // Netty throws the bind failure itself, also where it is a checked exception.
      System.err.println("dewreach: cannot listen: " + e.getMessage());
      return CANNOT_START;
    }
  }
}
