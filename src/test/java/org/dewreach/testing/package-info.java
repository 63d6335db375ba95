/** Fixtures that the tests of several packages share. */
package org.dewreach.testing;
