/**
 * The command line: starts a controller, and offers users client commands that talk to one.
 *
 * <p>{@link org.dewreach.cli.Main} is the entry point of the program.
 */
package org.dewreach.cli;
