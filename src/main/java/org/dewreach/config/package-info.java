/**
 * Configuration: the settings file, which is validated as a whole before the controller starts, and
 * the tuning parameters with their defaults.
 *
 * <p>Both are read once at start-up and immutable afterwards; a change needs a restart of the
 * controller.
 */
package org.dewreach.config;
