/**
 * Change tickets: their format, their validation and the merge that decides which tickets are in effect.
 */
package org.galenahinge.ticket;
