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
  private static final double NONE = -1;

  private int leaves = 1;
  private double[] cpus = new double[2];
  private double[] memory = new double[2];
  private double[] gpus = new double[2];

  /** Starts over with so many positions, none of which offers anything. */
  void clear(int size) {
    int needed = Math.max(1, Integer.highestOneBit(Math.max(1, size) * 2 - 1));
    if (needed != leaves) {
      leaves = needed;
      cpus = new double[2 * needed];
      memory = new double[2 * needed];
      gpus = new double[2 * needed];
    }
    Arrays.fill(cpus, NONE);
    Arrays.fill(memory, NONE);
    Arrays.fill(gpus, NONE);
  }

  /** Sets a position without looking at the ranges above it; {@link #build} follows. */
  void put(int position, double freeCpus, double freeMemory, double freeGpus) {
    int node = leaves + position;
    cpus[node] = freeCpus;
    memory[node] = freeMemory;
    gpus[node] = freeGpus;
  }

  /** Computes all ranges from their positions. */
  void build() {
    for (int node = leaves - 1; node > 0; node--) {
      updateFromChildren(node);
    }
  }

  /** Takes everything from a position. */
  void remove(int position) {
    set(position, NONE, NONE, NONE);
  }

  /** Sets a position and the ranges above it. */
  void set(int position, double freeCpus, double freeMemory, double freeGpus) {
    put(position, freeCpus, freeMemory, freeGpus);
    for (int node = (leaves + position) / 2; node > 0; node /= 2) {
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
    if (from >= leaves) {
      return -1;
    }
    int node = leaves + from;
    while (true) {
      if (covers(node, needCpus, needMemory, needGpus)) {
        if (node >= leaves) {
          return node - leaves;
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
    return Rounding.covers(cpus[node], needCpus)
        && Rounding.covers(memory[node], needMemory)
        && Rounding.covers(gpus[node], needGpus);
  }
}
