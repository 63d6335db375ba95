package org.dewreach.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.wire.Codec;
import org.dewreach.wire.ListedMachine;
import org.junit.jupiter.api.Test;

/** Tests the wire form of the cloud's API: {@link CloudCodec}. */
class CloudCodecTest {
  private static ObjectNode error(String text) {
    return Codec.map().put("error", text);
  }

  @Test
  void aRentalRequestHasTheFieldsOfTheApi() {
    RentalRequest request = new RentalRequest("dw-7-1", "box", "a", true, 12);
    assertEquals(
        "{\"hire\":\"dw-7-1\",\"build\":\"box\",\"site\":\"a\",\"loaners\":true,\"count\":12}",
        CloudCodec.encodeRental(request).toString());
  }

  @Test
  void decodesTheNamesOfRentedMachines() {
    ObjectNode body = Codec.map();
    body.putArray("hosts").add("vm-1").add("vm-2");
    assertEquals(
        new RentalResult.Rented(List.of("vm-1", "vm-2")), CloudCodec.decodeRental(200, body));
  }

  @Test
  void aRentalWithoutCapacityIsRefused() {
    assertEquals(new RentalResult.Refused(503), CloudCodec.decodeRental(503, error("no capacity")));
    assertEquals(new RentalResult.Refused(503), CloudCodec.decodeRental(503, null));
    assertEquals(new RentalResult.Refused(400), CloudCodec.decodeRental(400, null));
  }

  @Test
  void aRentalThatMayHaveBeenExecutedIsInconclusive() {
    assertEquals(new RentalResult.Inconclusive(0), CloudCodec.decodeRental(0, null));
    assertEquals(new RentalResult.Inconclusive(429), CloudCodec.decodeRental(429, null));
    assertEquals(
        new RentalResult.Inconclusive(503), CloudCodec.decodeRental(503, error("trouble")));
  }

  @Test
  void machinesAreReleasedByName() {
    assertEquals(
        "{\"hosts\":[\"vm-1\",\"vm-2\"]}",
        CloudCodec.encodeRelease(List.of("vm-1", "vm-2")).toString());
    assertInstanceOf(ReleaseResult.Released.class, CloudCodec.decodeRelease(200));
    assertEquals(new CloudFailure(503, null), CloudCodec.decodeRelease(503));
  }

  @Test
  void theFirstPageIsRequestedWithoutAfter() {
    assertEquals("/rentals?most=500", CloudCodec.listPath(null, 500));
    assertEquals("/rentals?after=vm-1&most=500", CloudCodec.listPath("vm-1", 500));
  }

  @Test
  void decodesAPageOfTheMachineList() {
    ObjectNode body = Codec.map().put("more", true);
    ObjectNode item = body.putArray("hosts").addObject().put("uid", "vm-1").putNull("address");
    item.put("build", "box").put("site", "a").put("loaners", false);
    item.put("standing", "failed").put("age_s", 1.5);
    ListedMachine machine = new ListedMachine("vm-1", "", "box", "a", false, true, 1_500_000);
    assertEquals(
        new MachineListResult.Page(List.of(machine), true), CloudCodec.decodeList(200, body));
  }

  @Test
  void aMalformedBodyIsAFailureWithItsReason() {
    CloudFailure list =
        assertInstanceOf(CloudFailure.class, CloudCodec.decodeList(200, Codec.map()));
    assertTrue(list.decodingFailed());
    assertEquals("hosts: list expected", list.decodingError());
    CloudFailure catalog =
        assertInstanceOf(CloudFailure.class, CloudCodec.decodeCatalog(200, null));
    assertTrue(catalog.decodingFailed());
    CloudFailure outage =
        assertInstanceOf(CloudFailure.class, CloudCodec.decodeCatalog(503, error("trouble")));
    assertFalse(outage.decodingFailed());
  }
}
