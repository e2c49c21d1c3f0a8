/**
 * Admission of requests to an upstream, rate limits and retry budgets. Does no network I/O and takes the time as a
 * parameter.
 */
package org.galenahinge.limit;
