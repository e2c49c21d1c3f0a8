/**
 * The VMs of the fleet, and the protocol by which entries find out which of them are up.
 */
package org.galenahinge.membership;
