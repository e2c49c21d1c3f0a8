/**
 * Speaks HTTP where a process must stay small: single requests to the platform and to the upstream, and a server for
 * metrics. Callers are served by Pekko HTTP instead, in the entry.
 */
package org.galenahinge.http;
