/**
 * Holds the thread with a bounded ring that every controller is built on.
 */
package org.galenahinge.concurrent;
