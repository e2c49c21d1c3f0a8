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

/** Queries the status that entries report to operators. Tries the given entries in order until one responds. */
public final class OperatorClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private final List<URI> entries;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    private OperatorClient(List<URI> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * Creates a client.
     *
     * @param entries the entries to ask, at least one
     * @return the client
     */
    public static OperatorClient create(List<URI> entries) {
        Objects.requireNonNull(entries, "entries");
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries must name at least one entry");
        }
        return new OperatorClient(entries);
    }

    /**
     * Reads which VMs have confirmed a ticket.
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
     * Reads the rollout progress of a model version on its VMs.
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
     * Reads the decisions taken for a request, at the first entry that knows of any.
     *
     * @param requestId the request
     * @return the decisions, none when no entry knows the request
     * @throws IOException when no entry responds
     */
    public Explanation explain(String requestId) throws IOException {
        Explanation last = new Explanation(requestId, List.of());
        for (URI entry : entries) {
            last = OperatorClient.create(List.of(entry))
                    .read("/v1/operations/decisions/" + requestId, Explanation.class);
            if (!last.decisions().isEmpty()) {
                return last;
            }
        }
        return last;
    }

    private <T> T read(String path, Class<T> type) throws IOException {
        IOException last = new IOException("no entry was queried");
        for (URI entry : entries) {
            try {
                return JSON.readValue(get(URI.create(entry + path)), type);
            } catch (IOException e) {
                last = new IOException("no response from " + entry + ": " + e, e);
            }
        }
        throw last;
    }

    private byte[] get(URI uri) throws IOException {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(ANSWER_TIMEOUT).GET().build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
