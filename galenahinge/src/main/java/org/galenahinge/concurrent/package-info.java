/**
 * Single-threaded building blocks: the event loop that every controller is built on, timers and timed wait lists.
 */
package org.galenahinge.concurrent;
