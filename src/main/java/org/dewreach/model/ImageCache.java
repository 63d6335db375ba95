package org.dewreach.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.dewreach.wire.JobSpec;

/**
 * An estimate of the images that a machine has cached or is fetching, derived from the tasks on it.
 *
 * <p>A machine keeps the most recently used images that fit into its cache, and concurrent fetches
 * share its fetch rate.
 */
final class ImageCache {
  private static final double MICROS_PER_SECOND = 1e6;

  /** An image that a task needed, either cached or still being fetched. */
  private record Image(double gb, boolean fetched) {}

  /** The images by name, the least recently used first. */
  private final Map<String, Image> images = new LinkedHashMap<>();

  private final double capacityGb;
  private final double fetchGbPerS;

  ImageCache(double capacityGb, double fetchGbPerS) {
    this.capacityGb = capacityGb;
    this.fetchGbPerS = fetchGbPerS;
  }

  /** True if the image is cached or being fetched. */
  boolean has(String image) {
    return images.containsKey(image);
  }

  /**
   * Returns the time until the image of a task would be cached, given that the fetches in progress
   * share the rate.
   */
  long fetchMicros(JobSpec spec) {
    Image known = images.get(spec.image());
    if (known != null && known.fetched()) {
      return 0;
    }
    double gb = known == null ? spec.imageGb() : 0;
    for (Image image : images.values()) {
      gb += image.fetched() ? 0 : image.gb();
    }
    return fetchGbPerS > 0 ? Math.round(gb / fetchGbPerS * MICROS_PER_SECOND) : 0;
  }

  /** Records that the image of a job is cached. */
  void recordFetched(JobSpec spec) {
    images.put(spec.image(), new Image(spec.imageGb(), true));
  }

  /**
   * Records that a task of the job needs its image, and evicts the least recently used images to
   * make room.
   */
  void use(JobSpec spec) {
    Image known = images.remove(spec.image());
    images.put(spec.image(), known != null ? known : new Image(spec.imageGb(), false));
    double sum = 0;
    for (Image image : images.values()) {
      sum += image.gb();
    }
    while (sum > capacityGb && images.size() > 1) {
      sum -= images.remove(images.keySet().iterator().next()).gb();
    }
  }

  /**
   * Records that a task has left the machine. A fetch that no other task waits for counts as
   * abandoned.
   */
  void release(String image, Predicate<String> stillNeeded) {
    Image known = images.get(image);
    if (known != null && !known.fetched() && !stillNeeded.test(image)) {
      images.remove(image);
    }
  }
}
