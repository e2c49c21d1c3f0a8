/**
 * The network protocol between the system's own nodes: protobuf frames over TCP connections, and datagrams.
 */
package org.galenahinge.wire;
