/** Jobs: what was asked for, how far they are, and how they are recorded durably. */
package org.dewreach.job;
