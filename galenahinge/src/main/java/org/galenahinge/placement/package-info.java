/**
 * Decides which upstream a request is sent to, whether the request waits, and whether it may be retried. Does no network
 * I/O and takes the time as a parameter.
 */
package org.galenahinge.placement;
