package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When workers were last heard, whoever leads: {@link WorkerContacts}. */
class WorkerContactsTest {
  private static final long S = 1_000_000;

  private final WorkerContacts contacts = new WorkerContacts();

  @Test
  void onlyMachinesThatWereAskedForAndHeardInTimeCount() {
    contacts.recordHeartbeat("m1", 10 * S);
    contacts.recordHeartbeat("m2", 12 * S);
    contacts.recordHeartbeat("m3", 12 * S);
    assertEquals(1, contacts.countHeardSince(List.of("m1", "m2", "m4"), 11 * S));
    contacts.recordHeartbeat("m1", 13 * S);
    assertEquals(2, contacts.countHeardSince(List.of("m1", "m2", "m4"), 12 * S));
  }

  @Test
  void contactsLongAgoAreForgotten() {
    contacts.recordHeartbeat("m1", S);
    contacts.recordHeartbeat("m2", 2 * S);
    contacts.recordHeartbeat("m1", 3 * S);
    contacts.recordHeartbeat("m3", 62_500_000);
    assertEquals(2, contacts.countHeardSince(List.of("m1", "m2", "m3"), 0));
  }
}
