/**
 * Holds a caller's request on its way through the filter chain, and the verdict that says whether it may have run.
 */
package org.galenahinge.request;
