package org.dewreach.leadership;

/**
 * When this controller last gave up the lead for want of workers; kept over all its terms.
 *
 * <p>A controller that leads again soon after that knows that the others had their turn.
 */
public final class HandoverHistory {
  /** Long enough for every controller to lead and give up once. */
  private static final long RECENT_MICROS = 120_000_000;

  private long lastHandoverAt = Long.MIN_VALUE / 2;

  /** Records that this controller gives up the lead for want of workers. */
  public void recordHandover(long nowMicros) {
    lastHandoverAt = nowMicros;
  }

  /** True if the other controllers had their turn a short while ago. */
  public boolean recentlyHandedOver(long nowMicros) {
    return nowMicros - lastHandoverAt < RECENT_MICROS;
  }
}
