/**
 * The operators' configuration as immutable values: routes, services, organisations and limits.
 */
package org.galenahinge.catalog;
