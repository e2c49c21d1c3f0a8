/**
 * What the operators configured: routes, services, organisations and limits, as immutable values.
 */
package org.galenahinge.catalog;
