/**
 * Runs the real daemons against the stand-ins on this machine: the demonstration, the experiments, their load and their
 * reports.
 */
package org.galenahinge.bench;
