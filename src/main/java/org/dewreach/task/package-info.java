/** Tasks that are bound to a machine, and what is known of them there. */
package org.dewreach.task;
