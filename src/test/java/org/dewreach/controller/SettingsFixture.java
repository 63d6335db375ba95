package org.dewreach.controller;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;

/** Settings of a small cluster, for tests of single classes. */
public final class SettingsFixture {
  private static final long SECOND = 1_000_000;
  private static final Settings.Address ANY = new Settings.Address("127.0.0.1", 1);

  private SettingsFixture() {}

  /** Returns the settings of controller n0 in zone a, the only one. */
  public static Settings oneController() {
    return settings(List.of(), List.of("a"), 10 * SECOND);
  }

  /** Returns the settings of controller n0 in zone a, with controller n2 in zone b. */
  public static Settings twoControllers(long leaseMicros) {
    return settings(List.of(new Settings.Member("n2", "b", ANY)), List.of("a", "b"), leaseMicros);
  }

  private static Settings settings(
      List<Settings.Member> members, List<String> zones, long leaseMicros) {
    return new Settings(
        "n0",
        "a",
        ANY,
        ANY,
        members,
        ANY,
        ANY,
        zones,
        0,
        Map.of("red", new Settings.Team("red", 4, 10, 0, 0)),
        List.of(),
        new Settings.WorkerSettings(SECOND, leaseMicros, 30 * SECOND),
        new Settings.StoreLimits(100, 50, 8192, 24),
        new Settings.CloudLimits(100, 3 * SECOND),
        new Settings.HostLimits(0.5, 200, 500));
  }
}
