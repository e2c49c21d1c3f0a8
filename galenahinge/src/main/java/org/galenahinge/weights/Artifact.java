package org.galenahinge.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;

/**
 * Identifies a set of weights that has its own manifest: the base weights of a model version, or an adapter.
 *
 * @param path the path under which weights sources serve its manifest
 */
public record Artifact(String path) {
    public Artifact {
        Objects.requireNonNull(path, "path");
    }

    /**
     * Lists the artifacts that a workload needs: the base weights, then each adapter.
     *
     * @param workload the workload
     * @return the artifacts in the order in which the engine loads them
     */
    public static List<Artifact> of(ModelWorkload workload) {
        List<Artifact> artifacts = new ArrayList<>();
        artifacts.add(new Artifact("models/" + workload.model() + "/" + workload.version()));
        for (String adapter : workload.adapters()) {
            artifacts.add(new Artifact("adapters/" + workload.model() + "/" + adapter));
        }
        return artifacts;
    }
}
