package org.galenahinge.reader;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Reads tickets from the configuration service, by long polling. */
public final class ConfigurationClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final long MAXIMUM_PAGE_BYTES = 32L << 20;
    private static final int MAXIMUM_VALUES_PER_PAGE = 256;
    /** How much longer the client waits for the response than the service may hold the request. */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(3);

    private final ListReader<Value> values = ListReader.of(JSON, Value.class);
    private final HttpReader reader;
    private final URI service;

    private ConfigurationClient(HttpReader reader, URI service) {
        this.reader = reader;
        this.service = service;
    }

    /**
     * Creates a client.
     *
     * @param reader the HTTP reader
     * @param service the base URI of the configuration service
     * @return the client
     */
    public static ConfigurationClient create(HttpReader reader, URI service) {
        return new ConfigurationClient(
                Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(service, "service"));
    }

    /**
     * Reads the tickets published after a revision.
     *
     * @param afterRevision the last revision that has been read, 0 for none
     * @param maximumWait how long the service may hold the request if there is no later ticket, in whole seconds
     * @return the page. Its revision is below {@code afterRevision} if the service was reset to an older state.
     *     Completes exceptionally if the read fails or the response is not valid JSON.
     */
    public CompletionStage<Page> readTickets(long afterRevision, Duration maximumWait) {
        URI uri = URI.create(service + "/v1/values?prefix=tickets/&after=" + afterRevision + "&wait="
                + maximumWait.toSeconds() + "&limit=" + MAXIMUM_VALUES_PER_PAGE);
        return reader.get(uri, maximumWait.plus(RESPONSE_MARGIN), MAXIMUM_PAGE_BYTES)
                .thenApply(this::parse);
    }

    private Page parse(byte[] bytes) {
        try {
            Document document = JSON.readValue(bytes, Document.class);
            return new Page(document.epoch(), document.revision(), values.read(document.values()), document.more());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private record Document(long epoch, long revision, List<JsonNode> values, boolean more) {}

    /**
     * A page of published values, without those that cannot be read.
     *
     * @param epoch how often the service has been restored from an older state, 0 if it does not say so; what was published
     *     before cannot be told by revisions, since they are given out again
     * @param revision the revision up to which the page is complete
     * @param values the values, oldest first
     * @param more whether there are further values
     */
    public record Page(long epoch, long revision, List<Value> values, boolean more) {
        public Page {
            values = List.copyOf(values);
        }
    }

    /**
     * A published value.
     *
     * @param key the key
     * @param revision the revision at which it was published
     * @param value the text
     */
    public record Value(String key, long revision, String value) {
        public Value {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }
}
