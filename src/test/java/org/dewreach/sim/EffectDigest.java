package org.dewreach.sim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.dewreach.port.Effect;

/** A running digest of the effects of all controllers, in the order in which they were decided. */
final class EffectDigest {
  private static final String ALGORITHM = "SHA-256";

  private final MessageDigest digest;
  private long effectCount;

  EffectDigest() {
    try {
      digest = MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Adds an effect: when and by which controller it was decided, and all that it says. */
  void add(long nowMicros, String controller, Effect effect) {
    effectCount++;
    String line = nowMicros + " " + controller + " " + effect + "\n";
    digest.update(line.getBytes(StandardCharsets.UTF_8));
  }

  /** How many effects were added. */
  long effectCount() {
    return effectCount;
  }

  /** The digest of what was added; nothing can be added after it. */
  String toHex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
