package org.dewreach.leadership;

/**
 * Records when this controller last handed over leadership because no workers reached it; kept
 * across its terms.
 *
 * <p>If this controller leads again soon after a handover, the other controllers have had the
 * chance to lead in between.
 */
public final class HandoverHistory {
  /** Long enough for every controller to lead and hand over once. */
  private static final long RECENT_HANDOVER_MICROS = 120_000_000;

  private long lastHandoverAt = Long.MIN_VALUE / 2;

  /** Records that this controller hands over because no workers reach it. */
  public void recordHandover(long nowMicros) {
    lastHandoverAt = nowMicros;
  }

  /**
   * True if this controller handed over recently, so that the other controllers have had the chance
   * to lead.
   */
  public boolean recentlyHandedOver(long nowMicros) {
    return nowMicros - lastHandoverAt < RECENT_HANDOVER_MICROS;
  }
}
