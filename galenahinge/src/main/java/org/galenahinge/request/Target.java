package org.galenahinge.request;

import java.util.Objects;

/** Says what a request asks for. */
public sealed interface Target {
    /**
     * Returns the name asked for.
     *
     * @return the model's or the service's name
     */
    String name();

    /**
     * A model.
     *
     * @param name the model's name
     */
    record Model(String name) implements Target {
        /** Checks the name. */
        public Model {
            Objects.requireNonNull(name, "name");
        }
    }

    /**
     * A plain service.
     *
     * @param name the service's name
     */
    record Service(String name) implements Target {
        /** Checks the name. */
        public Service {
            Objects.requireNonNull(name, "name");
        }
    }
}
