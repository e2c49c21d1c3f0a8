/**
 * Small stand-ins for the platform, written from its documentation: the store, upstreams with and without an engine,
 * and the origin.
 */
package org.galenahinge.standins.platform;
