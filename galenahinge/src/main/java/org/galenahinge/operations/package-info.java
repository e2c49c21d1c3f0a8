/**
 * JSON documents of the HTTP interface: ticket status, fleet, model progress and decisions for operators, and the list
 * of entries for callers.
 */
package org.galenahinge.operations;
