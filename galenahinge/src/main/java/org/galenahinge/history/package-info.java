/** Reads back what the processes have logged, and says why a request ended as it did. */
package org.galenahinge.history;
