package org.galenahinge.reader;

import com.fasterxml.jackson.databind.DeserializationFeature;
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

/** Reads the platform's list of VMs. */
public final class VmListClient {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final long MAXIMUM_LIST_BYTES = 16L << 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpReader reader;
    private final URI list;

    private VmListClient(HttpReader reader, URI list) {
        this.reader = reader;
        this.list = list;
    }

    /**
     * Creates a client.
     *
     * @param reader reads over HTTP
     * @param list where the list is served
     * @return the client
     */
    public static VmListClient create(HttpReader reader, URI list) {
        return new VmListClient(Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(list, "list"));
    }

    /**
     * Reads the list.
     *
     * @return the fleet as the platform last knew it
     */
    public CompletionStage<Fleet> read() {
        return reader.get(URI.create(list + "/v1/vms"), TIMEOUT, MAXIMUM_LIST_BYTES)
                .thenApply(VmListClient::parse);
    }

    private static Fleet parse(byte[] bytes) {
        try {
            Document document = JSON.readValue(bytes, Document.class);
            return Fleet.of(document.vms(), document.revision());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private record Document(long revision, List<Vm> vms) {}
}
