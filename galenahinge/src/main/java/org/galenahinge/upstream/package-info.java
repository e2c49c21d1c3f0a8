/**
 * The upstreams as the store describes them, and the pools of connections to them.
 */
package org.galenahinge.upstream;
