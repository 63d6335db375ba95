/** What to rent for the queue, and which machines to drain and return. */
package org.dewreach.fleet;
