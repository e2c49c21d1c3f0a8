package org.galenahinge.ticket;

import java.util.List;
import java.util.Objects;

/**
 * The complete new state of one group of VMs in a ticket.
 *
 * @param group the name of the group
 * @param vms the names of the VMs of the group, in the order of the ticket
 * @param workload what the VMs serve: a model or a plain service
 */
public record TicketGroup(String group, List<String> vms, Workload workload) {
    public TicketGroup {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workload, "workload");
        vms = List.copyOf(vms);
    }

    /** What a group of VMs serves. */
    public sealed interface Workload {
        /**
         * Returns the name that callers request.
         *
         * @return the name of the model or service
         */
        String target();
    }

    /**
     * A model with its weights.
     *
     * @param model the name of the model
     * @param version the name of the model version
     * @param adapters the names of the adapters, in the order in which the engine loads them
     * @param role the role of the engines
     * @param minimumReady the minimum number of replicas that must be ready at any time, as a number of VMs
     */
    public record ModelWorkload(String model, String version, List<String> adapters, Role role, int minimumReady)
            implements Workload {
        public ModelWorkload {
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(version, "version");
            Objects.requireNonNull(role, "role");
            adapters = List.copyOf(adapters);
        }

        @Override
        public String target() {
            return model;
        }

        /**
         * Returns the name of the weights: model, version and adapters.
         *
         * @return for example {@code inlay/3+quotes}
         */
        public String weightsKey() {
            StringBuilder key = new StringBuilder(model).append('/').append(version);
            for (String adapter : adapters) {
                key.append('+').append(adapter);
            }
            return key.toString();
        }
    }

    /**
     * A service that is not a model.
     *
     * @param service the name of the service
     * @param idempotent whether a request may be run more than once
     */
    public record ServiceWorkload(String service, boolean idempotent) implements Workload {
        public ServiceWorkload {
            Objects.requireNonNull(service, "service");
        }

        @Override
        public String target() {
            return service;
        }
    }

    /** The role of a model engine. */
    public enum Role {
        /** Reads prompts and generates tokens. */
        BOTH,
        /** Reads prompts only. */
        PREFILL,
        /** Generates tokens only. */
        DECODE
    }
}
