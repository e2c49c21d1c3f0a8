package org.galenahinge.operations;

import java.util.List;

/**
 * Shows how far a model version is on its VMs.
 *
 * @param model the model
 * @param version the version
 * @param replicasReady replicas that answer with these weights
 * @param replicasWanted replicas that tickets in force ask for
 * @param originBytes bytes drawn from the origin by these VMs since they started
 * @param replicas each VM
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
     * @param ready whether it answers with these weights
     * @param serves the weights that it answers with now, empty when none
     * @param chunksHeld chunks of the wanted weights that it holds
     * @param chunksTotal chunks of the wanted weights, 0 when not known
     * @param condition why it serves or does not
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
