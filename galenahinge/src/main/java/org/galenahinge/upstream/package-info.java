/**
 * What is known of the upstreams: where they listen, what they say of themselves, and the connections to them.
 */
package org.galenahinge.upstream;
