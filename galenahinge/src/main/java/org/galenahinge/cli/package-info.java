/**
 * The operators' command line.
 */
package org.galenahinge.cli;
