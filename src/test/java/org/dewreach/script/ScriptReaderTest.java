package org.dewreach.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.dewreach.config.SettingsException;
import org.dewreach.config.Tuning;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what operators' scripts can set, and the error messages for invalid scripts. */
class ScriptReaderTest {
  @Test
  void theExampleScriptReturnsTheDefaults() throws Exception {
    assertEquals(Tuning.DEFAULT, ScriptReader.read(Path.of("deploy", "operators.lua")));
  }

  @Test
  void scriptValuesOverrideTheDefaults() throws Exception {
    Tuning tuning =
        ScriptReader.parse(
            "local m = 60 return {idle_kept_s = 2 * m, lanes = {fast = {start_within_s = 7}}}");
    assertEquals(120_000_000, tuning.idleTimeoutMicros());
    assertEquals(7_000_000, tuning.startWithinMicros().get("fast"));
    assertEquals(Tuning.DEFAULT.maxMigrationShare(), tuning.maxMigrationShare());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "return {idle_kept = 1}|script.idle_kept: unknown name",
        "return {idle_kept_s = 'x'}|script.idle_kept_s: number expected",
        "return {idle_kept_s = -1}|script.idle_kept_s: must be between",
        "return {moved_share = 0/0}|script.moved_share: must be between",
        "return {lanes = {a = {soon = 1}}}|script.lanes.a.soon: unknown name",
        "return {lanes = 5}|script.lanes: table expected",
        "return 5|script: must return a table",
        "return {|script:",
        "while true do end|script: exceeds 1000000 instructions",
        "pcall(function() while true do end end) return {}|script: exceeds 1000000 instructions",
        "return {idle_kept_s = io.open('/etc/passwd')}|script:",
        "os.execute('true')|script:",
        "return require('x')|script:",
        "return luajava.bindClass('java.lang.System')|script:",
        "return {idle_kept_s = #string.rep('x', 1000000000)}|script:",
        "local function f() return f() + 1 end return {idle_kept_s = f()}|script:"
      })
  void errorsAreReportedInOneLine(String script, String message) {
    SettingsException e = assertThrows(SettingsException.class, () -> ScriptReader.parse(script));
    assertTrue(e.getMessage().startsWith(message), e.getMessage());
    assertTrue(e.getMessage().indexOf('\n') < 0, "one line");
  }
}
