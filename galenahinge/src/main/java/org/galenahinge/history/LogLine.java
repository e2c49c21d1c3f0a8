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
 * One line that a process has logged.
 *
 * @param atMillis when, in milliseconds since 1970 by the clock of that VM
 * @param node the VM
 * @param event what was decided or learned
 * @param fields all other fields in their order, as text
 */
public record LogLine(long atMillis, String node, String event, Map<String, String> fields) {
    private static final Set<String> OWN_PARTS = Set.of("at", "node", "event");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Checks and copies the parts. */
    public LogLine {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(event, "event");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Reads a line. What a log collector put before it is skipped.
     *
     * @param text the line
     * @return what it holds, or empty when it is not a line of this system
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
        fields.keySet().removeAll(OWN_PARTS);
        return Optional.of(new LogLine(
                line.get("at").asLong(),
                line.get("node").asText(),
                line.get("event").asText(),
                fields));
    }

    /**
     * Returns a field.
     *
     * @param name its name
     * @return its value, or an empty text where the line does not have it
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /**
     * Tells whether the line is about a request.
     *
     * @param requestId the caller's id of the request
     * @return whether it is
     */
    public boolean isAbout(String requestId) {
        return field("request").equals(requestId);
    }
}
