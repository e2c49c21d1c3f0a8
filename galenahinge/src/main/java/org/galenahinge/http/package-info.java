/**
 * HTTP clients and a small HTTP server on Netty, for processes with little memory: single requests to the platform and to
 * the upstream, and a server for metrics. The entry serves its callers with Pekko HTTP instead.
 */
package org.galenahinge.http;
