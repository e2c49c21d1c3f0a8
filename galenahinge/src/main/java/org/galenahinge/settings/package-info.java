/**
 * Reads and validates the daemons' settings from flags and environment variables.
 */
package org.galenahinge.settings;
