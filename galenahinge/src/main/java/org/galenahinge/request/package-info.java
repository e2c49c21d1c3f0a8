/**
 * A caller's request, the filter chain that handles it, and the verdict that says whether the request may have run.
 */
package org.galenahinge.request;
