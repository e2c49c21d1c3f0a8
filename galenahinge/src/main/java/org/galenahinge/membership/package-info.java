/**
 * Holds what is known of the VMs of the fleet and of the peers of this process.
 */
package org.galenahinge.membership;
