/**
 * Holds the documents that operators read back: ticket status, the fleet, the progress of a model, decisions.
 */
package org.galenahinge.operations;
