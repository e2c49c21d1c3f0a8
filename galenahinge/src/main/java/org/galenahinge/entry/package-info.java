/**
 * The process on an entry VM: the HTTP interfaces for callers and operators, routing, connections, and tickets.
 */
package org.galenahinge.entry;
