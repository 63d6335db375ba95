/**
 * The public messages of dewreach: what users, workers, cloud and state service put on the wire.
 *
 * <p>Clients may use this package alone, so it depends on no other package of the project. The
 * field names that the sites agreed on (`uid`, `lane`, `warrant`, …) appear here and nowhere else.
 */
package org.dewreach.wire;
