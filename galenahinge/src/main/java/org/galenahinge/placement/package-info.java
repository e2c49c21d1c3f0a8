/**
 * Decides where a request runs, whether it waits, and whether it may be sent again. Knows no network and no clock.
 */
package org.galenahinge.placement;
