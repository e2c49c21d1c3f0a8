package org.galenahinge.catalog;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The API keys of a configuration. Immutable.
 *
 * <p>Whether requests need a key is a fact of its own: a configuration that asks for keys and holds none admits no request
 * that needs one.
 *
 * @param organisations the organisation of each key; empty if the configuration asks for no keys, a map without elements if it
 *     asks for keys and holds none
 */
public record ApiKeys(Optional<Map<String, Organisation>> organisations) {
    private static final ApiKeys NOT_REQUIRED = new ApiKeys(Optional.empty());

    /** Copies the map. */
    public ApiKeys {
        organisations = organisations.map(Map::copyOf);
    }

    /**
     * Returns the absence of keys.
     *
     * @return keys that no request needs
     */
    public static ApiKeys notRequired() {
        return NOT_REQUIRED;
    }

    /**
     * Returns keys of which each request needs one, unless its route allows anonymous requests.
     *
     * @param organisations the organisation of each key; without elements if there is no valid key
     * @return the keys
     */
    public static ApiKeys required(Map<String, Organisation> organisations) {
        return new ApiKeys(Optional.of(organisations));
    }

    /**
     * Returns whether requests need a key.
     *
     * @return whether the configuration asks for keys, also if it holds none
     */
    public boolean areRequired() {
        return organisations.isPresent();
    }

    /**
     * Finds the organisation of a key.
     *
     * @param key the key of a request
     * @return the organisation, or empty if the key is not known
     */
    public Optional<Organisation> organisation(String key) {
        Objects.requireNonNull(key, "key");
        return organisations.map(byKey -> byKey.get(key));
    }

    /**
     * Returns the number of keys.
     *
     * @return the number, 0 if there is none
     */
    public int size() {
        return organisations.map(Map::size).orElse(0);
    }
}
