/**
 * Holds weights: manifests, chunks, fingerprints, and the plan that decides which chunk is pulled from where.
 */
package org.galenahinge.weights;
