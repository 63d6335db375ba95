/** Fixtures shared by the tests of several packages. */
package org.dewreach.testing;
