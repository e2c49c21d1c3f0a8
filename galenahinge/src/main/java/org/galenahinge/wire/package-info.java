/**
 * Carries frames between the system's own processes: Netty links, protobuf frames, correlation and bounds.
 */
package org.galenahinge.wire;
