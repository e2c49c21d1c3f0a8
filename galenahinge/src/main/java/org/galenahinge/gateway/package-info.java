/**
 * Takes requests from callers, forwards them to upstreams, and passes the answers back unchanged. One network thread.
 */
package org.galenahinge.gateway;
