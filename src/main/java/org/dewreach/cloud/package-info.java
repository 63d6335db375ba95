/** The cloud's interface: catalog, renting, returning and listing, within its rate. */
package org.dewreach.cloud;
