/**
 * Runs the real daemons against the stand-ins on this machine: the demonstration, the experiments, the load
 * generator and the reports.
 */
package org.galenahinge.bench;
