/**
 * The two kinds of nodes: entries, which forward requests, and slot processes, which load weights into the upstream on
 * their VM. Both run next to an existing platform, whose store they only read.
 */
package org.galenahinge.node;
