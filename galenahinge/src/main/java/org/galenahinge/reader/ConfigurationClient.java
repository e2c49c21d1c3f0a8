package org.galenahinge.reader;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Reads tickets from the configuration service, by a read that may wait for the next change. */
public final class ConfigurationClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final long MAXIMUM_PAGE_BYTES = 32L << 20;
    private static final int MAXIMUM_PAGE_VALUES = 256;
    private static final Duration MARGIN = Duration.ofSeconds(3);

    private final HttpReader reader;
    private final URI service;

    private ConfigurationClient(HttpReader reader, URI service) {
        this.reader = reader;
        this.service = service;
    }

    /**
     * Creates a client.
     *
     * @param reader reads over HTTP
     * @param service where the service listens
     * @return the client
     */
    public static ConfigurationClient create(HttpReader reader, URI service) {
        return new ConfigurationClient(
                Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(service, "service"));
    }

    /**
     * Reads the tickets published after a revision.
     *
     * @param afterRevision the last revision already read, 0 for all
     * @param longestWait how long the service may hold the read when there is none
     * @return the page; its revision may be lower than asked for when the service went back
     */
    public CompletionStage<Page> readTickets(long afterRevision, Duration longestWait) {
        URI uri = URI.create(service + "/v1/values?prefix=tickets/&after=" + afterRevision + "&wait="
                + longestWait.toSeconds() + "&limit=" + MAXIMUM_PAGE_VALUES);
        return reader.get(uri, longestWait.plus(MARGIN), MAXIMUM_PAGE_BYTES).thenApply(ConfigurationClient::parse);
    }

    private static Page parse(byte[] bytes) {
        try {
            return JSON.readValue(bytes, Page.class);
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    /**
     * One page of values.
     *
     * @param revision the revision up to which the page is complete
     * @param values the values, oldest first
     * @param more whether further values wait
     */
    public record Page(long revision, List<Value> values, boolean more) {
        /** Copies the values. */
        public Page {
            values = List.copyOf(values);
        }
    }

    /**
     * One published value.
     *
     * @param key its key
     * @param revision the revision at which it was published
     * @param value its text
     */
    public record Value(String key, long revision, String value) {
        /** Checks the parts. */
        public Value {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }
}
