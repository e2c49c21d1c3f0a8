package org.galenahinge.operations;

import java.util.List;

/**
 * The loading progress of one version of a model on its VMs. Written as JSON under the component names.
 *
 * @param model the model
 * @param version the version
 * @param replicasReady the number of VMs that serve this version
 * @param replicasWanted the number of VMs that tickets in force assign this version to
 * @param originBytes bytes that these VMs read from the origin since they started
 * @param replicas the progress of each VM
 */
public record ModelProgress(
        String model,
        String version,
        int replicasReady,
        int replicasWanted,
        long originBytes,
        List<ReplicaProgress> replicas) {
    /** Copies the list. */
    public ModelProgress {
        replicas = List.copyOf(replicas);
    }

    /**
     * One VM.
     *
     * @param vm its name
     * @param region its region
     * @param ready whether it serves this version
     * @param serves the key of the weights that it serves now, empty when none
     * @param chunksHeld chunks of the assigned weights that it holds
     * @param chunksTotal chunks of the assigned weights, 0 when unknown
     * @param condition the reason for its state, in words
     */
    public record ReplicaProgress(
            String vm,
            String region,
            boolean ready,
            String serves,
            int chunksHeld,
            int chunksTotal,
            String condition) {}
}
