package org.galenahinge.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.galenahinge.operations.Explanation;
import org.galenahinge.operations.FleetView;
import org.galenahinge.operations.ModelProgress;
import org.galenahinge.operations.TicketStatus;

/** Reads status reports for operators from entries over HTTP. Queries the given entries in order until one responds. */
public final class OperatorClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    private final List<URI> entries;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    private OperatorClient(List<URI> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * Creates a client.
     *
     * @param entries base URLs of the entries to query, at least one
     * @return the client
     * @throws IllegalArgumentException when there is no entry
     */
    public static OperatorClient create(List<URI> entries) {
        Objects.requireNonNull(entries, "entries");
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries must name at least one entry");
        }
        return new OperatorClient(entries);
    }

    /**
     * Reads on which VMs a ticket is in force.
     *
     * @param number the ticket's number
     * @return the status
     * @throws IOException when no entry responds
     */
    public TicketStatus ticketStatus(long number) throws IOException {
        return read("/v1/operations/tickets/" + number, TicketStatus.class);
    }

    /**
     * Reads the VMs of the fleet.
     *
     * @return the fleet
     * @throws IOException when no entry responds
     */
    public FleetView fleet() throws IOException {
        return read("/v1/operations/fleet", FleetView.class);
    }

    /**
     * Reads the progress of a model version on its VMs.
     *
     * @param model the model
     * @param version the version
     * @return the progress
     * @throws IOException when no entry responds
     */
    public ModelProgress model(String model, String version) throws IOException {
        return read("/v1/operations/models/" + model + "/" + version, ModelProgress.class);
    }

    /**
     * Reads the decisions taken for a request, from the first entry that has any.
     *
     * @param requestId the request
     * @return the decisions; empty when no entry has any
     * @throws IOException when an entry does not respond before one with decisions is found
     */
    public Explanation explain(String requestId) throws IOException {
        Explanation explanation = new Explanation(requestId, List.of());
        for (URI entry : entries) {
            explanation = OperatorClient.create(List.of(entry))
                    .read("/v1/operations/decisions/" + requestId, Explanation.class);
            if (!explanation.decisions().isEmpty()) {
                return explanation;
            }
        }
        return explanation;
    }

    private <T> T read(String path, Class<T> type) throws IOException {
        IOException lastFailure = new IOException("no entry was queried");
        for (URI entry : entries) {
            try {
                return JSON.readValue(get(URI.create(entry + path)), type);
            } catch (IOException e) {
                lastFailure = new IOException("no valid response from " + entry + ": " + e, e);
            }
        }
        throw lastFailure;
    }

    private byte[] get(URI uri) throws IOException {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(RESPONSE_TIMEOUT).GET().build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
