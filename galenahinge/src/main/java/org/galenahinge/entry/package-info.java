/**
 * Assembles the daemon that runs on an entry VM: callers' and operators' HTTP interface, routing and tickets.
 */
package org.galenahinge.entry;
