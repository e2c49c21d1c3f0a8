package org.galenahinge.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A log line of a node, parsed from JSON.
 *
 * @param atMillis the time, in milliseconds since 1970 by the clock of the node's VM
 * @param node the node that logged the line
 * @param event the name of the event
 * @param fields all other fields as text, in the order of the line
 */
public record LogLine(long atMillis, String node, String event, Map<String, String> fields) {
    private static final Set<String> COMPONENT_FIELDS = Set.of("at", "node", "event");
    private static final ObjectMapper JSON = new ObjectMapper();

    public LogLine {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(event, "event");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Parses a log line. Text before the first brace, such as the prefix of a log collector, is skipped.
     *
     * @param text the line
     * @return the parsed line, or empty if this system did not write it
     */
    public static Optional<LogLine> parse(String text) {
        int start = Objects.requireNonNull(text, "text").indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return of(JSON.readTree(text.substring(start)));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Optional<LogLine> of(JsonNode line) {
        if (!line.path("at").isIntegralNumber()
                || !line.path("node").isTextual()
                || !line.path("event").isTextual()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        line.fields()
                .forEachRemaining(
                        field -> fields.put(field.getKey(), field.getValue().asText()));
        fields.keySet().removeAll(COMPONENT_FIELDS);
        return Optional.of(new LogLine(
                line.get("at").asLong(),
                line.get("node").asText(),
                line.get("event").asText(),
                fields));
    }

    /**
     * Returns the value of a field.
     *
     * @param name the name of the field
     * @return the value, or an empty string if the line does not have the field
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /**
     * Returns whether the line belongs to a request.
     *
     * @param requestId the id that the caller gave the request
     * @return whether the line belongs to the request
     */
    public boolean belongsTo(String requestId) {
        return field("request").equals(requestId);
    }
}
