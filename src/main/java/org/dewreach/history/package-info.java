/**
 * Final states of jobs, as every controller keeps them: what has ended stays known to it through
 * changes of leader and outages of the state service.
 */
package org.dewreach.history;
