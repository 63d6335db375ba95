package org.dewreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/**
 * Tests the stored records field by field. Guards against a release that cannot read the records
 * that the previous release stored.
 */
class StoredRecordFormatTest {
  private static final JobSpec SPEC = JobSpecBuilder.array("req-1").tasks(20).build();

  private static String quoted(String text) {
    return text.replace('\'', '"');
  }

  @Test
  void aJob() throws Exception {
    BitSet done = new BitSet();
    done.set(0, 3);
    done.set(5);
    JobRecord stored = new JobRecord(SPEC, 17, true, done);
    assertEquals(
        quoted("{'job':" + SPEC.toNode() + ",'at':17,'off':true,'low':3,'bits':'4'}"),
        stored.encode().toString());
    assertEquals(stored, JobRecord.decode(stored.encode()));
  }

  @Test
  void aJobWithoutProgress() throws Exception {
    JobRecord stored = new JobRecord(SPEC, 17, false, new BitSet());
    assertEquals(quoted("{'job':" + SPEC.toNode() + ",'at':17}"), stored.encode().toString());
    assertEquals(stored, JobRecord.decode(stored.encode()));
  }

  @Test
  void aJobAcceptedWithoutALeader() throws Exception {
    var stored = LeaderlessJobRecord.encode(SPEC, 17, true, new BitSet(), "boot.1");
    assertEquals(
        quoted("{'job':" + SPEC.toNode() + ",'at':17,'off':true,'w':'boot.1'}"), stored.toString());
    assertEquals(new JobRecord(SPEC, 17, true, new BitSet()), LeaderlessJobRecord.decode(stored));
    assertTrue(LeaderlessJobRecord.isCancelled(stored));
  }

  @Test
  void aFinalState() throws Exception {
    FinalState finalState = new FinalState(JobState.CANCELLED, 4);
    assertEquals(
        quoted("{'standing':'withdrawn','done':4}"),
        FinalStateRecord.encode(finalState).toString());
    assertEquals(finalState, FinalStateRecord.decode(FinalStateRecord.encode(finalState)));
  }

  @Test
  void aPageOfMachines() {
    MachinePageRecord stored =
        new MachinePageRecord(
            List.of(
                new MachinePageRecord.Entry("vm-1", "box", "a", true, 12, false),
                new MachinePageRecord.Entry("vm-2", "big", "b", false, 13, true)));
    assertEquals(
        quoted("{'machines':{'vm-1':['box','a',true,12,false],'vm-2':['big','b',false,13,true]}}"),
        stored.encode().toString());
    assertEquals(stored, MachinePageRecord.decode(stored.encode()));
  }

  /**
   * Guards against starting tasks again while they may still run on a machine whose entry is
   * damaged.
   */
  @Test
  void aMachineWithADamagedEntryCountsAsCommandable() {
    var damaged = Codec.map();
    damaged.putObject("machines").put("vm-1", "?");
    assertTrue(MachinePageRecord.decode(damaged).entries().get(0).commandable());
  }

  @Test
  void theCatalog() throws Exception {
    List<MachineType> types =
        List.of(new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5_000_000, List.of("a", "b")));
    assertEquals(
        quoted(
            "{'builds':[{'name':'box','cpus':8.0,'cards':0.0,'memory_gb':32.0,'cache_gb':50.0,"
                + "'fetch_gb_per_s':1.0,'price':1.0,'spot_price':0.3,'ready_s':5.0,"
                + "'sites':['a','b']}]}"),
        CatalogRecord.encode(types).toString());
    assertEquals(types, CatalogRecord.decode(CatalogRecord.encode(types)));
  }
}
