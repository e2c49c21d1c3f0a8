/**
 * Clients that read what the platform publishes: tickets, the VM list, manifests and chunks. They write nothing.
 */
package org.galenahinge.reader;
