/**
 * Finds the parts of prompts that crash engines, and rejects the requests that contain them. Does no network I/O and takes
 * the time as a parameter.
 */
package org.galenahinge.quarantine;
