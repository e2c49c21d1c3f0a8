/**
 * Starts the daemons and stops them gracefully.
 */
package org.galenahinge.daemon;
