/**
 * Holds the operators' command line.
 */
package org.galenahinge.cli;
