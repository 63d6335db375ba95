package org.dewreach.cloud;

/**
 * A request for machines.
 *
 * @param name the idempotency key: a request that is repeated under the same name rents nothing
 *     more
 * @param type the name of the machine type
 * @param spot true for spot machines
 * @param count how many machines; the cloud may rent fewer
 */
public record RentalRequest(String name, String type, String zone, boolean spot, int count) {}
