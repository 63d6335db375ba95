package org.dewreach.autoscaling;

/**
 * Machines of one pool to be rented with one request.
 *
 * @param count the number of machines
 */
record Rental(MachinePool pool, int count) {}
