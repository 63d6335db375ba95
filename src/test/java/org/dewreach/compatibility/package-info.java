/**
 * Characterization tests: what the controller puts on the wire and stores, compared with fixtures.
 *
 * <p>A controller is driven through its events and effects alone. Only {@link
 * org.dewreach.compatibility.ControllerUnderTest} and the tests of the settings name types of the
 * sources, so that these tests outlive a renaming of the rest.
 */
package org.dewreach.compatibility;
