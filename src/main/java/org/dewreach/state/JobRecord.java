package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;

/**
 * A job's durable form.
 *
 * <p>Tasks done are kept as a number `low`, below which all are done, and the bits from there on.
 * What does not fit is left out: a task that is run again exits as done once it has its image, so
 * only a little work is lost with it.
 */
public record JobRecord(JobSpec spec, long acceptedWallMicros, boolean cancelled, BitSet done) {
  /** 12 Ki bits are 3 KiB in hexadecimal: with the description well within a value. */
  private static final int MAX_BITS = 12 * 1024;

  private static final int HEX_RADIX = 16;
  private static final int BITS_PER_DIGIT = 4;

  /** The record of a job that is not over. */
  public static ObjectNode encode(
      JobSpec spec, long acceptedWallMicros, boolean cancelled, BitSet done) {
    ObjectNode node = Codec.map();
    node.set("job", spec.toNode());
    node.put("at", acceptedWallMicros);
    if (cancelled) {
      node.put("off", true);
    }
    int low = done.nextClearBit(0);
    if (low > 0) {
      node.put("low", low);
    }
    int high = Math.min(done.length(), end(low));
    if (high > low) {
      StringBuilder hex = new StringBuilder((high - low) / BITS_PER_DIGIT + 1);
      for (int i = low; i < high; i += BITS_PER_DIGIT) {
        int digit = 0;
        for (int bit = 0; bit < BITS_PER_DIGIT; bit++) {
          if (i + bit < high && done.get(i + bit)) {
            digit |= 1 << bit;
          }
        }
        hex.append(Character.forDigit(digit, HEX_RADIX));
      }
      node.put("bits", hex.toString());
    }
    return node;
  }

  /** Whether a stored job is cancelled, which can be read even if its spec cannot. */
  static boolean isCancelled(JsonNode node) {
    return node.path("off").asBoolean(false);
  }

  private static int end(int low) {
    return low + MAX_BITS;
  }

  /**
   * What of the tasks done a record of the job keeps.
   *
   * <p>Guards against results that are cleared from their workers as if they were durable.
   */
  public static BitSet kept(BitSet done) {
    return done.get(0, Math.min(done.length(), end(done.nextClearBit(0))));
  }

  /**
   * Reads a record.
   *
   * @throws MalformedException if the description in it cannot be read
   */
  public static JobRecord decode(JsonNode node) throws MalformedException {
    JobSpec spec = JobSpec.parse(node.path("job"));
    BitSet done = new BitSet();
    int low = node.path("low").asInt(0);
    done.set(0, low);
    String hex = node.path("bits").asText("");
    for (int i = 0; i < hex.length(); i++) {
      int digit = Character.digit(hex.charAt(i), HEX_RADIX);
      for (int bit = 0; bit < BITS_PER_DIGIT; bit++) {
        if ((digit & 1 << bit) != 0) {
          done.set(low + BITS_PER_DIGIT * i + bit);
        }
      }
    }
    return new JobRecord(spec, node.path("at").asLong(0), isCancelled(node), done);
  }
}
