package org.dewreach.placement;

import java.util.Arrays;

/**
 * A segment tree over the machine list that holds the largest free amounts of each range, so that a
 * search skips ranges without enough capacity.
 *
 * <p>Each node holds the largest free CPUs, memory and GPUs of the leaves below it, each as a
 * separate maximum. A range whose maxima do not cover a task contains no machine that does; a range
 * whose maxima do may still contain none, so only a leaf is conclusive. A search with the index
 * therefore finds the same machines as a linear scan, in the same order.
 */
final class FreeCapacityIndex {
  /** The amounts of an unavailable position; a negative amount does not even cover a need of 0. */
  private static final double UNAVAILABLE_AMOUNT = -1;

  private int leafCount = 1;
  private double[] cpus = new double[2];
  private double[] memory = new double[2];
  private double[] gpus = new double[2];

  /** Resets the index to {@code size} positions, all of them unavailable. */
  void reset(int size) {
    int needed = Math.max(1, Integer.highestOneBit(Math.max(1, size) * 2 - 1));
    if (needed != leafCount) {
      leafCount = needed;
      cpus = new double[2 * needed];
      memory = new double[2 * needed];
      gpus = new double[2 * needed];
    }
    Arrays.fill(cpus, UNAVAILABLE_AMOUNT);
    Arrays.fill(memory, UNAVAILABLE_AMOUNT);
    Arrays.fill(gpus, UNAVAILABLE_AMOUNT);
  }

  /** Sets a leaf without updating its ancestors; {@link #build} must be called afterwards. */
  void setLeaf(int position, double freeCpus, double freeMemory, double freeGpus) {
    int node = leafCount + position;
    cpus[node] = freeCpus;
    memory[node] = freeMemory;
    gpus[node] = freeGpus;
  }

  /** Computes all inner nodes from the leaves. */
  void build() {
    for (int node = leafCount - 1; node > 0; node--) {
      updateFromChildren(node);
    }
  }

  /** Marks a position as unavailable. */
  void remove(int position) {
    set(position, UNAVAILABLE_AMOUNT, UNAVAILABLE_AMOUNT, UNAVAILABLE_AMOUNT);
  }

  /** Sets a leaf and updates its ancestors. */
  void set(int position, double freeCpus, double freeMemory, double freeGpus) {
    setLeaf(position, freeCpus, freeMemory, freeGpus);
    for (int node = (leafCount + position) / 2; node > 0; node /= 2) {
      updateFromChildren(node);
    }
  }

  private void updateFromChildren(int node) {
    cpus[node] = Math.max(cpus[2 * node], cpus[2 * node + 1]);
    memory[node] = Math.max(memory[2 * node], memory[2 * node + 1]);
    gpus[node] = Math.max(gpus[2 * node], gpus[2 * node + 1]);
  }

  /**
   * Returns the first position at or after {@code from} that covers the amounts, or -1 if there is
   * none.
   */
  int next(int from, double needCpus, double needMemory, double needGpus) {
    if (from >= leafCount) {
      return -1;
    }
    int node = leafCount + from;
    while (true) {
      if (covers(node, needCpus, needMemory, needGpus)) {
        if (node >= leafCount) {
          return node - leafCount;
        }
        node = 2 * node;
        continue;
      }
      // Moves on to the next subtree on the right: goes up while the node is a right child.
      while ((node & 1) == 1) {
        if (node == 1) {
          return -1;
        }
        node /= 2;
      }
      if (node == 0) {
        return -1;
      }
      node++;
    }
  }

  private boolean covers(int node, double needCpus, double needMemory, double needGpus) {
    return ResourceAmounts.covers(cpus[node], needCpus)
        && ResourceAmounts.covers(memory[node], needMemory)
        && ResourceAmounts.covers(gpus[node], needGpus);
  }
}
