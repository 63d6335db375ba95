/**
 * Configuration: the platform's settings file, validated as a whole before anything starts, and the
 * defaults that operators may tune.
 */
package org.dewreach.config;
