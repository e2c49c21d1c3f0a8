package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/** Small HTTP calls to stand-ins and daemons. */
public final class HttpTool {
    /** Reads and writes JSON. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 50;
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private HttpTool() {}

    /**
     * Reads a JSON document.
     *
     * @param url where it is
     * @return the document, or empty when it cannot be read
     */
    public static Optional<JsonNode> get(String url) {
        try {
            HttpResponse<byte[]> response = CLIENT.send(
                    HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build(),
                    HttpResponse.BodyHandlers.ofByteArray());
            return response.statusCode() == 200 ? Optional.of(JSON.readTree(response.body())) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /**
     * Reads the status of a page.
     *
     * @param url where it is
     * @return the status, 0 when there is no answer
     */
    public static int status(String url) {
        try {
            return CLIENT.send(
                            HttpRequest.newBuilder(URI.create(url))
                                    .timeout(TIMEOUT)
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /**
     * Sends a document.
     *
     * @param method the HTTP method
     * @param url where to
     * @param body the document
     * @return the status
     */
    public static int send(String method, String url, String body) {
        try {
            return CLIENT.send(
                            HttpRequest.newBuilder(URI.create(url))
                                    .timeout(TIMEOUT)
                                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /**
     * Waits until a document satisfies a condition.
     *
     * @param url where the document is
     * @param condition the condition
     * @param limit how long to wait
     * @return the document that satisfied it, or empty when time ran out
     */
    public static Optional<JsonNode> await(String url, Predicate<JsonNode> condition, Duration limit) {
        long until = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() - until < 0) {
            Optional<JsonNode> document = get(url).filter(condition);
            if (document.isPresent()) {
                return document;
            }
            pause(POLL_MILLIS);
        }
        return Optional.empty();
    }

    /**
     * Waits.
     *
     * @param millis how long, in milliseconds
     */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
