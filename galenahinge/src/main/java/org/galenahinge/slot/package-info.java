/**
 * The slot process: the daemon on an upstream VM that admits requests to its one upstream and fetches weights for it.
 */
package org.galenahinge.slot;
