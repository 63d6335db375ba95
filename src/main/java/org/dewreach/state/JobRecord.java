package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;

/**
 * The stored form of a job that has not ended.
 *
 * <p>Completed tasks are stored as the index of the first task that is not complete, followed by a
 * hexadecimal bitmap that begins at this index. Completed tasks beyond the bitmap's size are left
 * out: such a task is run again and exits as done once its image is fetched, so only a little work
 * is lost.
 *
 * @param acceptedWallMicros the wall-clock time of the job's submission
 * @param cancelled true if the job's cancellation is durable
 * @param done the indexes of the completed tasks
 */
public record JobRecord(JobSpec spec, long acceptedWallMicros, boolean cancelled, BitSet done) {
  private static final String SPEC = "job";
  private static final String ACCEPTED_AT = "at";
  private static final String CANCELLED = "off";
  private static final String FIRST_NOT_DONE = "low";
  private static final String DONE_BITMAP = "bits";

  /**
   * 12 Ki bits take 3 KiB in hexadecimal, which together with the job's specification stays well
   * below the size limit of a value.
   */
  private static final int MAX_BITMAP_BITS = 12 * 1024;

  private static final int HEX_RADIX = 16;
  private static final int BITS_PER_DIGIT = 4;

  /** Returns the value to store. */
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
   * @throws MalformedException if the job's specification in the value cannot be parsed
   */
  public static JobRecord decode(JsonNode value) throws MalformedException {
    JobSpec spec = JobSpec.parse(value.path(SPEC));
    BitSet done = new BitSet();
    int firstNotDone = value.path(FIRST_NOT_DONE).asInt(0);
    done.set(0, firstNotDone);
    setFromHex(done, firstNotDone, value.path(DONE_BITMAP).asText(""));
    return new JobRecord(spec, value.path(ACCEPTED_AT).asLong(0), isCancelled(value), done);
  }

  /**
   * True if a stored job is cancelled. This can be read even if the job's specification cannot be
   * parsed.
   */
  static boolean isCancelled(JsonNode value) {
    return value.path(CANCELLED).asBoolean(false);
  }

  /**
   * Returns those of the given completed tasks that a record of the job can contain.
   *
   * <p>Guards against removing a task's result from its worker although the completion is not
   * durable.
   */
  public static BitSet storedDoneTasks(BitSet done) {
    return done.get(0, storedEnd(done));
  }

  /** Returns the index after the last task that a record covers. */
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
