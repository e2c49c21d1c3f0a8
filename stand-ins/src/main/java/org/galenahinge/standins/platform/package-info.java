/**
 * Small stand-ins for the users' platform, written from its pages: the store, a server, an engine and the origin.
 */
package org.galenahinge.standins.platform;
