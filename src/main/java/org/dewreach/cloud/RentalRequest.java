package org.dewreach.cloud;

/**
 * A request to rent machines.
 *
 * @param name the idempotency key: a request that is repeated with the same name rents no further
 *     machines
 * @param type the name of the machine type
 * @param zone the zone to rent in
 * @param spot true for spot machines
 * @param count the number of machines; the cloud may rent fewer
 */
public record RentalRequest(String name, String type, String zone, boolean spot, int count) {}
