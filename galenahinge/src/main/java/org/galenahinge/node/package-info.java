/**
 * The processes that run beside a platform which is only read: entries that forward requests, and slot processes that
 * bring weights to the upstream on their VM.
 */
package org.galenahinge.node;
