/** The platform's settings file, read and checked whole before anything starts. */
package org.dewreach.config;
