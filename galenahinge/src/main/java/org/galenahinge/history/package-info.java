/** Reconstructs the history of a request from the logs of several nodes, and explains how the request ended. */
package org.galenahinge.history;
