package org.dewreach.placement;

import java.util.Arrays;

/**
 * A segment tree of the largest free amounts in ranges of the list, so that a walk skips ranges
 * without room.
 *
 * <p>Each node has the largest free CPUs, memory and GPUs below it, each by itself. A range whose
 * largest amounts do not cover a task has no machine that does; one whose amounts do may still have
 * none, so a leaf is what decides. The walk over the index therefore meets the very machines that
 * the plain walk would, in the same order.
 */
final class FreeCapacityIndex {
  /** Amounts of a position that offers nothing. */
  private static final double UNAVAILABLE = -1;

  private int leafCount = 1;
  private double[] cpus = new double[2];
  private double[] memory = new double[2];
  private double[] gpus = new double[2];

  /** Starts over with so many positions, none of which offers anything. */
  void reset(int size) {
    int needed = Math.max(1, Integer.highestOneBit(Math.max(1, size) * 2 - 1));
    if (needed != leafCount) {
      leafCount = needed;
      cpus = new double[2 * needed];
      memory = new double[2 * needed];
      gpus = new double[2 * needed];
    }
    Arrays.fill(cpus, UNAVAILABLE);
    Arrays.fill(memory, UNAVAILABLE);
    Arrays.fill(gpus, UNAVAILABLE);
  }

  /** Sets a position without looking at the ranges above it; {@link #build} follows. */
  void setLeaf(int position, double freeCpus, double freeMemory, double freeGpus) {
    int node = leafCount + position;
    cpus[node] = freeCpus;
    memory[node] = freeMemory;
    gpus[node] = freeGpus;
  }

  /** Computes all ranges from their positions. */
  void build() {
    for (int node = leafCount - 1; node > 0; node--) {
      updateFromChildren(node);
    }
  }

  /** Takes everything from a position. */
  void remove(int position) {
    set(position, UNAVAILABLE, UNAVAILABLE, UNAVAILABLE);
  }

  /** Sets a position and the ranges above it. */
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

  /** The first position, from the given one on, that covers the amounts; -1 if there is none. */
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
      // To the next range on the right: up while this is a right child.
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
