package org.galenahinge.reader;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;

/** Reads the VM list of the platform. */
public final class VmListClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final long MAXIMUM_LIST_BYTES = 16L << 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ListReader<Vm> vms = ListReader.of(JSON, Vm.class);
    private final HttpReader reader;
    private final URI service;

    private VmListClient(HttpReader reader, URI service) {
        this.reader = reader;
        this.service = service;
    }

    /**
     * Creates a client.
     *
     * @param reader the HTTP reader
     * @param service the base URI of the service that publishes the VM list
     * @return the client
     */
    public static VmListClient create(HttpReader reader, URI service) {
        return new VmListClient(Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(service, "service"));
    }

    /**
     * Reads the VM list.
     *
     * @return the fleet, without VMs that cannot be read. Completes exceptionally if the read fails or the response is
     *     not valid JSON.
     */
    public CompletionStage<Fleet> read() {
        return reader.get(URI.create(service + "/v1/vms"), TIMEOUT, MAXIMUM_LIST_BYTES)
                .thenApply(this::parse);
    }

    private Fleet parse(byte[] bytes) {
        try {
            Document document = JSON.readValue(bytes, Document.class);
            return Fleet.of(vms.read(document.vms()), document.revision());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private record Document(long revision, List<JsonNode> vms) {}
}
