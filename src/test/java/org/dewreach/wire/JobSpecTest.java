package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that malformed submissions are rejected, and valid ones are read completely. */
class JobSpecTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static ObjectNode validJob() throws Exception {
    return (ObjectNode)
        JSON.readTree(
            """
            {"uid":"req-000412","lane":"train","desk":"vision","shape":"sweep","urgency":"high",
             "pieces":16,"cpus":8.0,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
             "builds":["g8"],"site":null,"together":true,"scatter":false,"loaners":true,
             "expected_s":240.0,"mark_every_s":30.0,"mark_cost_s":4.0,"due_s":900.0,
             "something_new":[1]}
            """);
  }

  @Test
  void encodingAndParsingPreserveTheSpec() throws Exception {
    JobSpec spec = JobSpec.parse(validJob());
    assertEquals(240_000_000, spec.expectedMicros());
    assertEquals(spec, JobSpec.parse(Codec.read(Codec.write(spec.toNode()))));
  }

  @Test
  void nullableFieldsMayBeLeftOut() throws Exception {
    ObjectNode node = validJob();
    node.remove("builds");
    node.remove("site");
    node.remove("due_s");
    JobSpec spec = JobSpec.parse(node);
    assertEquals(null, spec.types());
    assertEquals(-1, spec.deadlineMicros());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "uid",
        "lane",
        "desk",
        "shape",
        "urgency",
        "pieces",
        "cpus",
        "cards",
        "memory_gb",
        "bundle",
        "pull_gb",
        "together",
        "scatter",
        "loaners",
        "expected_s",
        "mark_every_s",
        "mark_cost_s"
      })
  void missingFieldIsMalformed(String field) throws Exception {
    ObjectNode node = validJob();
    node.remove(field);
    assertThrows(MalformedException.class, () -> JobSpec.parse(node));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "uid|\"job-1\"",
        "uid|\"req-\"",
        "uid|7",
        "uid|\"req-1/2\"",
        "pieces|0",
        "pieces|100001",
        "pieces|1.5",
        "pieces|18446744073709551616",
        "cpus|-1",
        "cpus|0",
        "cpus|\"8\"",
        "cpus|1e300",
        "memory_gb|-0.1",
        "builds|\"g8\"",
        "builds|[1]",
        "site|5",
        "shape|\"herd\"",
        "urgency|\"urgent\"",
        "together|1",
        "due_s|-1",
        "lane|\"\""
      })
  void wrongValueIsMalformed(String field, String json) throws Exception {
    ObjectNode node = validJob();
    JsonNode value = JSON.readTree(json);
    node.set(field, value);
    assertThrows(MalformedException.class, () -> JobSpec.parse(node));
  }

  @Test
  void notANumberIsMalformed() throws Exception {
    ObjectNode node = validJob();
    node.put("cpus", Double.NaN);
    assertThrows(MalformedException.class, () -> JobSpec.parse(node));
    assertThrows(MalformedException.class, () -> JobSpec.parse(null));
  }
}
