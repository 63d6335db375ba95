/**
 * The command line: starts a controller, and provides client commands for users' requests.
 *
 * <p>{@link org.dewreach.cli.Main} is the entry point of the program.
 */
package org.dewreach.cli;
