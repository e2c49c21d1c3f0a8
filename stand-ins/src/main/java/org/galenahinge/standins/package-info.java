/**
 * Programs that stand in for the systems around galenahinge in tests, demonstrations and experiments: the configuration
 * service, the VM list, the weight store, the origin, a model engine and a plain service. Some simulate faults on
 * request.
 */
package org.galenahinge.standins;
