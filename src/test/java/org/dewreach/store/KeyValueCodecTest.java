package org.dewreach.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Set;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the paths and fields of the key-value store's HTTP interface. */
class KeyValueCodecTest {
  private static JsonNode json(String text) throws Exception {
    return new ObjectMapper().readTree(text.replace('\'', '"'));
  }

  @Test
  void pathsNameKeysPrefixesAndLeases() {
    assertEquals("/keys/dw/leader", KeyValueCodec.readPath("dw/leader"));
    assertEquals("/keys?under=dw/job/&most=200", KeyValueCodec.rangePath("dw/job/", null, 200));
    assertEquals(
        "/keys?under=dw/job/&after=dw/job/b&most=200",
        KeyValueCodec.rangePath("dw/job/", "dw/job/b", 200));
    assertEquals(
        "/changes?under=dw/new/&after=40&hold_ms=8000",
        KeyValueCodec.watchPath("dw/new/", 40, 8000));
    assertEquals("/holds/7/extend", KeyValueCodec.renewLeasePath(7));
    assertEquals("/holds/7", KeyValueCodec.leasePath(7));
  }

  @Test
  void aTransactionNamesRevisionsPutsAndDeletes() {
    String encoded =
        KeyValueCodec.encodeTransaction(
                List.of(Precondition.unchanged("dw/leader", 9), Precondition.absent("a")),
                List.of(Mutation.put("a", Codec.map().put("x", 1)), Mutation.delete("b")),
                0)
            .toString();
    assertEquals(
        ("{'when':[{'path':'dw/leader','stamp':9},{'path':'a','stamp':0}],"
                + "'then':[{'put':'a','data':{'x':1}},{'remove':'b'}]}")
            .replace('\'', '"'),
        encoded);
  }

  @Test
  void putsNameTheLeaseThatTheyAreAttachedTo() {
    String encoded =
        KeyValueCodec.encodeTransaction(
                List.of(), List.of(Mutation.put("a", Codec.map()), Mutation.delete("b")), 7)
            .toString();
    assertEquals(
        "{'when':[],'then':[{'put':'a','data':{},'hold':7},{'remove':'b'}]}".replace('\'', '"'),
        encoded);
  }

  @Test
  void aReadYieldsTheEntryOrTheRevisionAtWhichItIsAbsent() throws Exception {
    JsonNode found = json("{'path':'a','stamp':5,'hold':7,'data':{'x':1}}");
    assertEquals(
        new KeyValue("a", json("{'x':1}"), 5, 7), KeyValueCodec.decodeRead("a", 200, found));
    assertEquals(
        new ReadResult.Absent(30), KeyValueCodec.decodeRead("a", 404, json("{'ledger_rev':30}")));
    assertEquals(new ReadResult.Absent(0), KeyValueCodec.decodeRead("a", 404, null));
  }

  @Test
  void anEmptyPageIsTheLastOne() throws Exception {
    JsonNode full =
        json("{'ledger_rev':40,'more':true,'entries':[{'path':'a','stamp':5,'data':{}}]}");
    RangePage page = (RangePage) KeyValueCodec.decodeRange(200, full);
    assertEquals(List.of(new KeyValue("a", json("{}"), 5, 0)), page.entries());
    assertEquals(40, page.storeRevision());
    assertTrue(page.more());
    JsonNode empty = json("{'ledger_rev':40,'more':true,'entries':[]}");
    assertFalse(((RangePage) KeyValueCodec.decodeRange(200, empty)).more());
  }

  @Test
  void aWatchYieldsPutsAndDeletesInOrder() throws Exception {
    JsonNode log =
        json(
            "{'ledger_rev':44,'log':[{'put':'a','stamp':41,'data':{}},{'remove':'b','stamp':42},"
                + "{'put':'c','stamp':43,'data':{}}]}");
    WatchBatch batch = (WatchBatch) KeyValueCodec.decodeWatch(200, log);
    assertEquals(
        List.of(WatchEvent.Type.PUT, WatchEvent.Type.DELETE, WatchEvent.Type.PUT),
        batch.events().stream().map(WatchEvent::type).toList());
    assertEquals(
        List.of("a", "b", "c"), batch.events().stream().map(event -> event.entry().key()).toList());
    assertEquals(List.of("a", "c"), batch.puts().stream().map(KeyValue::key).toList());
    assertEquals(44, batch.storeRevision());
    assertEquals(new WatchResult.Compacted(), KeyValueCodec.decodeWatch(410, null));
  }

  @Test
  void aLeaseIsGrantedRenewedOrExpired() throws Exception {
    assertEquals(new LeaseGrant(7), KeyValueCodec.decodeGrantLease(200, json("{'hold':7}")));
    assertEquals(new LeaseGrant(7), KeyValueCodec.decodeRenewLease(7, 200));
    assertEquals(new LeaseResult.Expired(), KeyValueCodec.decodeRenewLease(7, 404));
    assertEquals(new LeaseResult.Expired(), KeyValueCodec.decodeRevokeLease(200));
    assertEquals(new LeaseResult.Expired(), KeyValueCodec.decodeRevokeLease(404));
  }

  @Test
  void aTransactionIsCommittedOrNamesTheKeysThatFailed() throws Exception {
    assertEquals(
        new TransactionResult.Committed(50),
        KeyValueCodec.decodeTransaction(200, json("{'ledger_rev':50}")));
    assertEquals(
        new TransactionResult.PreconditionFailed(Set.of("a", "b")),
        KeyValueCodec.decodeTransaction(409, json("{'failed':['a','b']}")));
    assertEquals(
        new TransactionResult.PreconditionFailed(Set.of()),
        KeyValueCodec.decodeTransaction(409, null));
  }

  @ParameterizedTest
  @CsvSource({"0,NO_RESPONSE", "429,RATE_LIMITED", "503,UNAVAILABLE", "400,REJECTED"})
  void everyRequestFailsWithTheCauseOfItsStatus(int status, RequestFailure.Cause cause) {
    RequestFailure failure = new RequestFailure(cause, status);
    assertEquals(failure, KeyValueCodec.decodeRead("a", status, null));
    assertEquals(failure, KeyValueCodec.decodeRange(status, null));
    assertEquals(failure, KeyValueCodec.decodeWatch(status, null));
    assertEquals(failure, KeyValueCodec.decodeGrantLease(status, null));
    assertEquals(failure, KeyValueCodec.decodeRenewLease(7, status));
    assertEquals(failure, KeyValueCodec.decodeRevokeLease(status));
    assertEquals(failure, KeyValueCodec.decodeTransaction(status, null));
  }

  /** Guards against treating an unreadable page as an empty one, and thus as the last. */
  @Test
  void aSuccessWithoutABodyIsNotAnEmptyResult() {
    assertThrows(IllegalStateException.class, () -> KeyValueCodec.decodeRange(200, null));
    assertThrows(IllegalStateException.class, () -> KeyValueCodec.decodeRead("a", 200, null));
    assertThrows(IllegalStateException.class, () -> KeyValueCodec.decodeWatch(200, null));
    assertThrows(IllegalStateException.class, () -> KeyValueCodec.decodeTransaction(200, null));
  }
}
