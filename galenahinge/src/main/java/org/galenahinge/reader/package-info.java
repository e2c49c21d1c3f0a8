/**
 * Reads what the platform publishes: tickets, the VM list, manifests and chunks. Writes nothing.
 */
package org.galenahinge.reader;
