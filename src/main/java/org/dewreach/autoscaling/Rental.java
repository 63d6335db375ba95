package org.dewreach.autoscaling;

/**
 * Machines to be rented with one request.
 *
 * @param count how many
 */
record Rental(MachinePool pool, int count) {}
