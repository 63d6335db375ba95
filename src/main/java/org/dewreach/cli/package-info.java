/** The command line. */
package org.dewreach.cli;
