/**
 * Receives requests from callers, forwards them to upstreams and passes the responses back unchanged. Runs on one
 * network thread.
 */
package org.galenahinge.gateway;
