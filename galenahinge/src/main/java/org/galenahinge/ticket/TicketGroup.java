package org.galenahinge.ticket;

import java.util.List;
import java.util.Objects;

/**
 * Holds the whole new state of one group of VMs, as a ticket states it.
 *
 * @param group the group's name
 * @param vms the names of the VMs of the group, in the ticket's order
 * @param workload what the VMs serve: a model or a plain service
 */
public record TicketGroup(String group, List<String> vms, Workload workload) {
    /** Checks and copies the parts. */
    public TicketGroup {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workload, "workload");
        vms = List.copyOf(vms);
    }

    /** What a group of VMs serves. */
    public sealed interface Workload {
        /**
         * Returns the name that callers ask for.
         *
         * @return the model's or the service's name
         */
        String target();
    }

    /**
     * A model with exact weights.
     *
     * @param model the model's name
     * @param version the version's name
     * @param adapters the adapters, in order of loading
     * @param role the role that the engines take
     * @param minimumReady how many replicas must be able to answer at any time, as a count of VMs
     */
    public record ModelWorkload(String model, String version, List<String> adapters, Role role, int minimumReady)
            implements Workload {
        /** Checks and copies the parts. */
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
         * Returns the name of the exact weights: model, version and adapters.
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
     * A plain service.
     *
     * @param service the service's name
     * @param repeatable whether its calls may be run more than once
     */
    public record ServiceWorkload(String service, boolean repeatable) implements Workload {
        /** Checks the parts. */
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
