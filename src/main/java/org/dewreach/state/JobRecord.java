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
 * hexadecimal bitmap that begins at this index. Completed tasks for which the value has no space
 * are left out: such a task is run again and exits as done once its image is fetched, so only a
 * little work is lost.
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

  /** The largest bitmap of any record. 12 Ki bits take 3 KiB in hexadecimal. */
  private static final int MAX_BITMAP_BITS = 12 * 1024;

  /** Reserved in each value for the fields that are added later, such as the transaction id. */
  private static final int RESERVED_BYTES = 128;

  private static final int HEX_RADIX = 16;
  private static final int BITS_PER_DIGIT = 4;

  /**
   * Returns this record without the completed tasks that do not fit into a value of the given size.
   *
   * @param maxValueBytes the maximum size of the stored value, in the JSON form
   */
  JobRecord fittedTo(int maxValueBytes) {
    int firstNotDone = done.nextClearBit(0);
    if (done.length() <= firstNotDone) {
      return this;
    }
    BitSet withoutBitmap = new BitSet();
    withoutBitmap.set(0, firstNotDone);
    JobRecord smallest = new JobRecord(spec, acceptedWallMicros, cancelled, withoutBitmap);
    int digits = maxValueBytes - RESERVED_BYTES - Codec.jsonBytes(smallest.encode());
    int bits = Math.min(MAX_BITMAP_BITS, Math.max(0, digits) * BITS_PER_DIGIT);
    BitSet fitting = done.get(0, Math.min(done.length(), firstNotDone + bits));
    return new JobRecord(spec, acceptedWallMicros, cancelled, fitting);
  }

  /** Returns the value to store, which contains all completed tasks. */
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
    if (done.length() > firstNotDone) {
      value.put(DONE_BITMAP, toHex(done, firstNotDone, done.length()));
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
