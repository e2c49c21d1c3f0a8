package org.galenahinge.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import dev.langchain4j.model.chat.response.ChatResponse;
import dev.langchain4j.model.chat.response.StreamingChatResponseHandler;
import dev.langchain4j.model.openai.OpenAiChatModel;
import dev.langchain4j.model.openai.OpenAiStreamingChatModel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.galenahinge.cli.OperatorClient;
import org.galenahinge.operations.TicketStatus;
import org.galenahinge.standins.DraftText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the complete request path: a real entry and real slot processes, used through an OpenAI client library. */
class WholePathTest {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    /** How long a test looks for a response that must not come yet. */
    private static final int EARLY_RESPONSE_WAIT_MILLIS = 500;

    private static final long UNREAD_MILLIS = 1_000;

    /** More than the buffers of the sockets and of both processes hold. */
    private static final long MAXIMUM_UNREAD_BYTES = 64L << 20;

    private static final String TICKET = """
            {"number": 5, "groups": [
              {"group": "drafts", "vms": ["model-1"], "model": "inlay", "version": "1"},
              {"group": "orders", "vms": ["order-1"], "service": "orders", "repeatable": false}]}
            """;

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static InProcessFleet fleet;

    @BeforeAll
    static void startAndPublish() throws IOException {
        fleet = new InProcessFleet();
        fleet.publish(5, TICKET);
        String operations = fleet.entryUrl() + "/v1/operations";
        assertThat(HttpTool.await(
                        operations + "/models/inlay/1",
                        progress -> progress.path("replicasReady").asInt() == 1,
                        START_TIMEOUT))
                .isPresent();
        assertThat(HttpTool.await(
                        operations + "/tickets/5",
                        status -> status.path("state").asText().equals("in-force"),
                        START_TIMEOUT))
                .isPresent();
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @Test
    void returnsACompleteDraftToAnOpenAiClient() {
        OpenAiChatModel model = OpenAiChatModel.builder()
                .baseUrl(fleet.entryUrl() + "/v1")
                .apiKey("none")
                .modelName("inlay")
                .maxTokens(9)
                .maxRetries(0)
                .build();

        assertThat(model.chat("a border of shells")).isEqualTo(DraftText.completeText("a border of shells", 9));
    }

    @Test
    void streamsADraftToAnOpenAiClient() {
        assertThat(stream("inlay", "a verse for May").join()).isEqualTo(DraftText.completeText("a verse for May", 12));
    }

    @ParameterizedTest
    @ValueSource(strings = {"break this one", "short this one"})
    void reportsAnInterruptedStreamToTheClientsErrorHandler(String prompt) {
        CompletableFuture<String> draft = stream("inlay", prompt);

        assertThatThrownBy(draft::join).isInstanceOf(CompletionException.class);
    }

    @Test
    void reportsARejectionToTheClientsErrorHandler() {
        CompletableFuture<String> draft = stream("unknown-model", "a verse");

        assertThatThrownBy(draft::join).hasMessageContaining("unknown-model");
    }

    @Test
    void runsARequestOnceAndAnswersARetryWithTheStoredResponse() throws Exception {
        String key = HttpTool.JSON
                .readTree(
                        post("/v1/services/orders/keys", "{}", Optional.empty()).body())
                .path("key")
                .asText();
        HttpResponse<String> first = post("/v1/services/orders/confirm", "{\"order\":\"o-1\"}", Optional.of(key));
        HttpResponse<String> retry = post("/v1/services/orders/confirm", "{\"order\":\"o-1\"}", Optional.of(key));

        assertThat(first.headers().firstValue("Galenahinge-Verdict")).contains("answered");
        assertThat(retry.body()).isEqualTo(first.body());
        assertThat(HttpTool.get(fleet.serviceUrl() + "/executions")
                        .orElseThrow()
                        .path("o-1")
                        .asInt())
                .isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/v1/chat/completions | {\"model\":\"inlay\" | 400 | invalid-request",
                "/v1/chat/completions | {\"messages\":[]} | 400 | invalid-request",
                "/v1/chat/completions | {\"model\":\"other\",\"messages\":[{\"content\":\"x\"}]} | 404 | unknown-target",
                "/v1/services/orders/confirm | {} | 400 | key-missing",
                "/v1/services/unknown/confirm | {} | 404 | unknown-target"
            })
    void rejectsBadRequestsAsNotRun(String path, String body, int status, String reason) throws Exception {
        HttpResponse<String> response = post(path, body, Optional.empty());

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Galenahinge-Verdict")).contains("not-run");
        assertThat(response.headers().firstValue("Galenahinge-Reason")).contains(reason);
    }

    @Test
    void refusesAnOversizedRequestAndAForgedKeyAsNotRun() throws Exception {
        HttpResponse<String> large = post("/v1/chat/completions", "x".repeat(2 << 20), Optional.empty());
        HttpResponse<String> forged =
                post("/v1/services/orders/confirm", "{}", Optional.of("order-1~1~1~0123456789abcdef"));

        assertThat(large.headers().firstValue("Galenahinge-Reason")).contains("too-large");
        assertThat(forged.headers().firstValue("Galenahinge-Verdict")).contains("may-have-run");
    }

    /** A caller that sends slowly must get the rejection of its request, not a reset connection. */
    @Test
    void readsOnWhileACallerSendsAnOversizedBody() throws IOException {
        URI entry = URI.create(fleet.entryUrl());
        byte[] piece = "x".repeat(64 << 10).getBytes(StandardCharsets.US_ASCII);
        int pieces = 32;
        try (Socket socket = new Socket(entry.getHost(), entry.getPort())) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: " + entry.getAuthority() + "\r\nContent-Length: "
                    + (long) pieces * piece.length + "\r\nContent-Type: application/json\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(EARLY_RESPONSE_WAIT_MILLIS);
            assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
            socket.setSoTimeout((int) START_TIMEOUT.toMillis());
            BufferedReader response =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (int sent = 0; sent < pieces; sent++) {
                socket.getOutputStream().write(piece);
                socket.getOutputStream().flush();
            }
            assertThat(response.readLine()).startsWith("HTTP/1.1 413");
            assertThat(response.lines().takeWhile(line -> !line.isEmpty()))
                    .anyMatch(line -> line.equalsIgnoreCase("Galenahinge-Reason: too-large"));
        }
    }

    @Test
    void listsTheEntriesThatCallersMayUse() {
        JsonNode entries = HttpTool.get(fleet.entryUrl() + "/v1/entries").orElseThrow();

        assertThat(entries.path("entries").path(0).path("url").asText()).isEqualTo(fleet.entryUrl());
        assertThat(entries.path("keepSeconds").asInt()).isPositive();
    }

    @Test
    void reportsWhichVmsHoldATicket() throws IOException {
        OperatorClient client = OperatorClient.create(List.of(URI.create(fleet.entryUrl())));

        TicketStatus status = client.ticketStatus(5);
        assertThat(status.isInForce()).isTrue();
        assertThat(status.sites())
                .extracting(TicketStatus.VmStatus::vm)
                .containsExactly("entry-1", "model-1", "order-1");
        assertThat(client.ticketStatus(99).state()).isEqualTo("unknown");
    }

    /** Guards against an endless response that fills the memory of the entry while its caller does not read it. */
    @Test
    void bringsNoMoreOfAnEndlessResponseThanItsCallerReads() throws Exception {
        String body = "{\"model\":\"inlay\",\"stream\":true,\"max_tokens\":9,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"flood\"}]}";
        URI entry = URI.create(fleet.entryUrl());
        try (Socket caller = new Socket(entry.getHost(), entry.getPort())) {
            String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            await().atMost(START_TIMEOUT).until(() -> fleet.floodedBytes() > 0);
            Thread.sleep(UNREAD_MILLIS);
            assertThat(fleet.floodedBytes()).isLessThan(MAXIMUM_UNREAD_BYTES);
        }
    }

    private static CompletableFuture<String> stream(String modelName, String prompt) {
        CompletableFuture<String> draft = new CompletableFuture<>();
        OpenAiStreamingChatModel model = OpenAiStreamingChatModel.builder()
                .baseUrl(fleet.entryUrl() + "/v1")
                .apiKey("none")
                .modelName(modelName)
                .maxTokens(12)
                .build();
        model.chat(prompt, new StreamingChatResponseHandler() {
            @Override
            public void onPartialResponse(String part) {
                // onCompleteResponse receives the complete text.
            }

            @Override
            public void onCompleteResponse(ChatResponse response) {
                draft.complete(response.aiMessage().text());
            }

            @Override
            public void onError(Throwable error) {
                draft.completeExceptionally(error);
            }
        });
        return draft;
    }

    private static HttpResponse<String> post(String path, String body, Optional<String> key)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(fleet.entryUrl() + path))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        key.ifPresent(value -> request.header("Idempotency-Key", value));
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
