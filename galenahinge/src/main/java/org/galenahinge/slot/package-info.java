/**
 * Assembles the daemon that runs on an upstream VM before its one upstream.
 */
package org.galenahinge.slot;
