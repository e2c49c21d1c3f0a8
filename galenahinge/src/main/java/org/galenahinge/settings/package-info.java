/**
 * Reads and checks the settings of the daemons from flags and environment variables.
 */
package org.galenahinge.settings;
