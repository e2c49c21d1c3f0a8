/**
 * Access to the model engine on the VM of a slot process: its state, load commands and event streams.
 */
package org.galenahinge.engine;
