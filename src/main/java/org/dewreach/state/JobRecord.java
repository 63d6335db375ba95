package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;

/**
 * Stored form of a job that has not ended.
 *
 * <p>Completed tasks are kept as the index of the first task that is not complete, and a bitmap in
 * hexadecimal from there on. What does not fit is left out: a task that is run again exits as done
 * once it has its image, so only a little work is lost with it.
 *
 * @param acceptedWallMicros time of day of its submission
 * @param cancelled true if its cancellation is durable
 * @param done the completed tasks
 */
public record JobRecord(JobSpec spec, long acceptedWallMicros, boolean cancelled, BitSet done) {
  private static final String SPEC = "job";
  private static final String ACCEPTED_AT = "at";
  private static final String CANCELLED = "off";
  private static final String FIRST_NOT_DONE = "low";
  private static final String DONE_BITMAP = "bits";

  /** 12 Ki bits are 3 KiB in hexadecimal: with the job's spec well within a value. */
  private static final int MAX_BITMAP_BITS = 12 * 1024;

  private static final int HEX_RADIX = 16;
  private static final int BITS_PER_DIGIT = 4;

  /** The value to store. */
  public ObjectNode encode() {
    ObjectNode value = Codec.map();
    value.set(SPEC, spec.toNode());
    value.put(ACCEPTED_AT, acceptedWallMicros);
    if (cancelled) {
      value.put(CANCELLED, true);
    }
    int firstNotDone = done.nextClearBit(0);
    if (firstNotDone > 0) {
      value.put(FIRST_NOT_DONE, firstNotDone);
    }
    int end = storedEnd(done);
    if (end > firstNotDone) {
      value.put(DONE_BITMAP, toHex(done, firstNotDone, end));
    }
    return value;
  }

  /**
   * Decodes a stored value.
   *
   * @throws MalformedException if the job's spec in it cannot be read
   */
  public static JobRecord decode(JsonNode value) throws MalformedException {
    JobSpec spec = JobSpec.parse(value.path(SPEC));
    BitSet done = new BitSet();
    int firstNotDone = value.path(FIRST_NOT_DONE).asInt(0);
    done.set(0, firstNotDone);
    setFromHex(done, firstNotDone, value.path(DONE_BITMAP).asText(""));
    return new JobRecord(spec, value.path(ACCEPTED_AT).asLong(0), isCancelled(value), done);
  }

  /** Whether a stored job is cancelled, which can be read even if its spec cannot. */
  static boolean isCancelled(JsonNode value) {
    return value.path(CANCELLED).asBoolean(false);
  }

  /**
   * The completed tasks that a record of the job keeps.
   *
   * <p>Guards against results that are removed from their workers as if they were durable.
   */
  public static BitSet storedDoneTasks(BitSet done) {
    return done.get(0, storedEnd(done));
  }

  /** The index after the last task that a record tells about. */
  private static int storedEnd(BitSet done) {
    return Math.min(done.length(), done.nextClearBit(0) + MAX_BITMAP_BITS);
  }

  private static String toHex(BitSet bits, int from, int to) {
    StringBuilder hex = new StringBuilder((to - from) / BITS_PER_DIGIT + 1);
    for (int i = from; i < to; i += BITS_PER_DIGIT) {
      int digit = 0;
      for (int bit = 0; bit < BITS_PER_DIGIT; bit++) {
        if (i + bit < to && bits.get(i + bit)) {
          digit |= 1 << bit;
        }
      }
      hex.append(Character.forDigit(digit, HEX_RADIX));
    }
    return hex.toString();
  }

  private static void setFromHex(BitSet bits, int from, String hex) {
    for (int i = 0; i < hex.length(); i++) {
      int digit = Character.digit(hex.charAt(i), HEX_RADIX);
      for (int bit = 0; bit < BITS_PER_DIGIT; bit++) {
        if ((digit & 1 << bit) != 0) {
          bits.set(from + BITS_PER_DIGIT * i + bit);
        }
      }
    }
  }
}
