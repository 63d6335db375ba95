/**
 * Characterization tests, which compare the messages and stored records of a controller with
 * fixtures.
 *
 * <p>They drive a controller only through its events and effects. Only {@link
 * org.dewreach.compatibility.ControllerUnderTest} and the tests of the settings refer to types of
 * the main sources, so that refactoring the rest needs no change here.
 */
package org.dewreach.compatibility;
