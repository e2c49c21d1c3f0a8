/**
 * Finds the requests, and the parts of prompts, that crash upstreams, and rejects them. Does no network I/O and takes
 * the time as a parameter.
 */
package org.galenahinge.quarantine;
