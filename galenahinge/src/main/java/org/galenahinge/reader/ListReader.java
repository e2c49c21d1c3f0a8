package org.galenahinge.reader;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.log.LoggedOnce;
import org.jboss.logging.Logger;

/**
 * Reads the elements of a list one by one. One that cannot be read is logged once and affects no other.
 *
 * @param <T> the type of the elements
 */
final class ListReader<T> {
    private static final Logger LOG = Logger.getLogger(ListReader.class);

    private final ObjectMapper json;
    private final Class<T> type;
    private final LoggedOnce logged = LoggedOnce.create();

    private ListReader(ObjectMapper json, Class<T> type) {
        this.json = json;
        this.type = type;
    }

    static <T> ListReader<T> of(ObjectMapper json, Class<T> type) {
        return new ListReader<>(Objects.requireNonNull(json, "json"), Objects.requireNonNull(type, "type"));
    }

    /** Returns the elements that can be read, in their order. */
    List<T> read(List<JsonNode> nodes) {
        Objects.requireNonNull(nodes, "nodes");
        List<T> elements = new ArrayList<>(nodes.size());
        nodes.forEach(node -> read(node).ifPresent(elements::add));
        return elements;
    }

    private Optional<T> read(JsonNode node) {
        if (!node.isObject()) {
            logOnce(node, "must be an object");
            return Optional.empty();
        }
        try {
            return Optional.of(json.treeToValue(node, type));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            logOnce(node, String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    private void logOnce(JsonNode node, String detail) {
        if (logged.isNew(node)) {
            LOG.warnf("left out an odd element of the %s list: %s", type.getSimpleName(), detail);
        }
    }
}
