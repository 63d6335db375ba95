package org.dewreach.sim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.dewreach.port.Effect;

/** A running hash of the effects of all controllers, in the order in which they were decided. */
final class EffectDigest {
  private static final String ALGORITHM = "SHA-256";

  private final MessageDigest digest;
  private long effectCount;

  EffectDigest() {
    try {
      digest = MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  /** Adds an effect: its time, the controller that decided it, and its whole content. */
  void add(long nowMicros, String controller, Effect effect) {
    effectCount++;
    String line = nowMicros + " " + controller + " " + effect + "\n";
    digest.update(line.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of effects that were added. */
  long effectCount() {
    return effectCount;
  }

  /** Returns the digest of the added effects; called once, after the last of them. */
  String toHex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
