package org.dewreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.history.FinalStates;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.request.JobRequestHandler;
import org.dewreach.request.UserRequest;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobSubmission;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;

/** Jobs that are accepted while the leader is reading what else there is. */
class LeaderlessJobImporterTest {
  private static final long S = 1_000_000;
  private static final Settings SETTINGS = SettingsFixture.oneNode();

  private final Outbox outbox = new Outbox();
  private final KeyValueStore state = new KeyValueStore(outbox);
  private final ClusterState clusterState = new ClusterState(90, SETTINGS.teams(), Tuning.DEFAULT);
  private final CommitQueue queue =
      new CommitQueue(
          state, new Precondition(Keys.LEADER, 90), 24, new TokenBucket(100, 100), () -> {});
  private final JobRecordWriter recordWriter =
      new JobRecordWriter(queue, (job, now) -> true, new Ignoring());
  private final LeaderlessJobImporter jobImporter =
      new LeaderlessJobImporter(state, clusterState, recordWriter, id -> {});
  private final JobRequestHandler desk =
      new JobRequestHandler(
          clusterState,
          recordWriter,
          jobImporter,
          state,
          new FinalStates(),
          new MachineTypeCatalog(state, new CloudClient(outbox, 100)),
          SETTINGS,
          0);
  private final List<Integer> answered = new ArrayList<>();

  /** Nothing is done about what becomes durable. */
  private static final class Ignoring implements JobRecordWriter.Listener {
    @Override
    public void onAccepted(Job job, long nowMicros) {}

    @Override
    public void onCancelled(Job job, long nowMicros) {}

    @Override
    public void onEnded(Job job, long nowMicros) {}

    @Override
    public void onMarked(long nowMicros) {}

    @Override
    public void onBroken(String why, long nowMicros) {}
  }

  private static JobSpec spec(String id) {
    return new JobSpec(
        id,
        "scan",
        "red",
        JobKind.ARRAY,
        Priority.NORMAL,
        1,
        1,
        0,
        1,
        "img",
        1,
        null,
        null,
        false,
        false,
        true,
        10 * S,
        0,
        0,
        -1);
  }

  /** The only call that was made since the last time, of this method and path. */
  private Effect.Call sent(String path) {
    List<Effect.Call> made = new ArrayList<>();
    outbox.drain().forEach(effect -> made.add((Effect.Call) effect));
    made.removeIf(call -> !call.path().startsWith(path));
    assertEquals(1, made.size(), path);
    return made.get(0);
  }

  private void reply(Effect.Call call, int status, JsonNode body) {
    outbox.reply(2 * S, new Event.Reply(call.callId(), status, body));
  }

  private static ObjectNode page(long revision, boolean more, String id) {
    ObjectNode page = Codec.map().put("ledger_rev", revision).put("more", more);
    ObjectNode entry = page.putArray("entries").addObject().put("path", Keys.leaderlessJob(id));
    entry.put("stamp", 40).set("data", JobRecord.encode(spec(id), 0, false, new BitSet()));
    return page;
  }

  /**
   * Guard: {@code LeaderlessJobImporter.listedSince} is taken from the first page only. A job that
   * is kept between the two pages under a key before the second one is on neither, and a watch from
   * the second on would not tell of it.
   */
  @Test
  void theWatchBeginsWhereTheFirstPageDid() {
    jobImporter.tick(S);
    reply(sent("/keys?"), 200, page(50, true, "req-5"));
    reply(sent("/keys?"), 200, page(60, false, "req-7"));
    String watch = sent("/changes?").path();
    assertTrue(watch.contains("&after=50&"), watch);
  }

  /**
   * Guard: the cluster state is looked at again in {@code SubmissionHandler.rejectUnlessKnown}. A
   * submission that lacks a field is not called malformed once the job of that name has been
   * accepted meanwhile.
   */
  @Test
  void aSubmissionIsNotRefusedIfItsJobIsAcceptedWhileItIsLookedUp() {
    UserRequest submit =
        new UserRequest.Submit("req-1", new JobSubmission(Codec.map().put("uid", "req-1")));
    desk.handle(submit, response -> answered.add(response.status()), S);
    reply(sent("/keys/" + Keys.leaderlessJob("req-1")), 404, Codec.map());
    Effect.Call lastLook = sent("/keys/" + Keys.finalState("req-1"));
    clusterState.jobs().put("req-1", new Job(spec("req-1"), 0, true, JobPhase.ACTIVE));
    reply(lastLook, 404, Codec.map());
    assertEquals(List.of(503), answered, "to come back");
    desk.handle(submit, response -> answered.add(response.status()), 3 * S);
    assertEquals(List.of(503, 200), answered);
  }
}
