/**
 * Configuration: the platform's settings file, validated as a whole before anything starts, and the
 * defaults that operators may tune.
 *
 * <p>Read once at start and immutable from then on; a change takes a restart of the controller.
 */
package org.dewreach.config;
