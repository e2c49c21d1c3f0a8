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

/** Sends small blocking HTTP requests to stand-ins and daemons, each with a timeout of 5 seconds. */
public final class HttpTool {
    /** Reads and writes JSON. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 50;
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();

    private HttpTool() {}

    /**
     * Fetches a JSON document.
     *
     * @param url its URL
     * @return the document, or empty when the request fails or the status is not 200
     */
    public static Optional<JsonNode> get(String url) {
        try {
            HttpResponse<byte[]> response = CLIENT.send(
                    HttpRequest.newBuilder(URI.create(url))
                            .timeout(REQUEST_TIMEOUT)
                            .build(),
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
     * Sends a GET request and returns the status of the response.
     *
     * @param url the URL
     * @return the status, 0 when there is no response
     */
    public static int status(String url) {
        try {
            return CLIENT.send(
                            HttpRequest.newBuilder(URI.create(url))
                                    .timeout(REQUEST_TIMEOUT)
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
     * @param url the URL
     * @param body the document
     * @return the status of the response, 0 when the thread is interrupted
     * @throws UncheckedIOException if the request fails
     */
    public static int send(String method, String url, String body) {
        try {
            return CLIENT.send(
                            HttpRequest.newBuilder(URI.create(url))
                                    .timeout(REQUEST_TIMEOUT)
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
     * Polls a JSON document until it satisfies a condition.
     *
     * @param url the URL of the document
     * @param condition the condition
     * @param timeout the maximum time to wait
     * @return the document that satisfied it, or empty when the time has passed
     */
    public static Optional<JsonNode> await(String url, Predicate<JsonNode> condition, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - deadline < 0) {
            Optional<JsonNode> document = get(url).filter(condition);
            if (document.isPresent()) {
                return document;
            }
            pause(POLL_MILLIS);
        }
        return Optional.empty();
    }

    /**
     * Blocks the calling thread for a time, or until it is interrupted.
     *
     * @param millis the time, in milliseconds
     */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
