package org.galenahinge.request;

import java.util.Objects;

/** What a request asks for: a model or a plain service. */
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
        public Service {
            Objects.requireNonNull(name, "name");
        }
    }
}
