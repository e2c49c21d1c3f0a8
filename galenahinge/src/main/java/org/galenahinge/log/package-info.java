/**
 * Writes one structured line for each routing or placement decision and keeps the latest ones for operators.
 */
package org.galenahinge.log;
