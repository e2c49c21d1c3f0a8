/**
 * Weights of model engines: manifests, chunks, fingerprints, and the plan that decides which chunk a VM pulls from
 * which source.
 */
package org.galenahinge.weights;
