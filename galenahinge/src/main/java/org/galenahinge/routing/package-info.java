/**
 * Choice of the replica that serves a request. Does no network I/O and takes the time as a parameter.
 */
package org.galenahinge.routing;
