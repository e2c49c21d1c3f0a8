/**
 * Stands in for the systems around galenahinge in tests, demonstrations and experiments: the configuration service, the
 * VM list, the weight store, the origin, a model engine and a plain service. Small, and bad on request.
 */
package org.galenahinge.standins;
