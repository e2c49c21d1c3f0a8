package org.galenahinge.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what callers get whose requests are in progress when the system's own daemons stop. */
class OwnStopTest {
    private static final String VERDICT = "Galenahinge-Verdict";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Time by which an entry has accepted its last connection. */
    private static final long STOP_BEGINS_MILLIS = 300;

    /** Within the time in which a stopping entry still responds on kept connections. */
    private static final long LATE_REQUEST_MILLIS = 150;

    /** Guards against an entry that closes before slow callers have taken the end of their responses. */
    @Test
    void deliversResponsesThatTheirCallersReadSlowly() throws Exception {
        try (StoppedFleet fleet = new StoppedFleet(List.of(), List.of());
                SlowCaller single = SlowCaller.connect(fleet.entryUri());
                SlowCaller pipelining = SlowCaller.connect(fleet.entryUri())) {
            for (SlowCaller caller : List.of(single, pipelining)) {
                caller.send("/v1/services/orders/large", "{}");
                caller.awaitResponse();
            }
            pipelining.send("/v1/services/orders/small", "{}");
            CompletableFuture<Void> stopped = fleet.entry().stop().toCompletableFuture();
            TimeUnit.MILLISECONDS.sleep(STOP_BEGINS_MILLIS);

            assertThat(single.readResponse().bodyBytes()).isEqualTo(StoppedFleet.LARGE_RESPONSE_BYTES);
            assertThat(pipelining.readResponse().bodyBytes()).isEqualTo(StoppedFleet.LARGE_RESPONSE_BYTES);
            assertThat(pipelining.readResponse().header(VERDICT)).isEqualTo("not-run");
            single.close();
            pipelining.close();
            assertThat(stopped).succeedsWithin(TIMEOUT);
        }
    }

    /** Guards against an entry that closes the connection of a caller that sends a request as it stops. */
    @Test
    void rejectsRequestsThatArriveDuringTheStop() throws Exception {
        try (StoppedFleet fleet = new StoppedFleet(List.of(), List.of());
                SlowCaller kept = SlowCaller.connect(fleet.entryUri());
                SlowCaller sending = SlowCaller.connect(fleet.entryUri());
                SlowCaller keyless = SlowCaller.connect(fleet.entryUri())) {
            sending.sendHead("/v1/services/orders/small", 2);
            keyless.sendHead("/v1/services/orders/keys", 2);
            kept.send("/v1/services/orders/small", "{}");
            assertThat(kept.readResponse().header(VERDICT)).isEqualTo("answered");
            CompletableFuture<Void> stopped = fleet.entry().stop().toCompletableFuture();
            TimeUnit.MILLISECONDS.sleep(LATE_REQUEST_MILLIS);
            kept.send("/v1/services/orders/small", "{}");
            assertThat(kept.readResponse().header(VERDICT)).isEqualTo("not-run");
            TimeUnit.MILLISECONDS.sleep(STOP_BEGINS_MILLIS);
            for (SlowCaller caller : List.of(sending, keyless)) {
                caller.sendBody("{}");
                assertThat(caller.readResponse().header(VERDICT)).isEqualTo("not-run");
                caller.close();
            }
            assertThat(stopped).succeedsWithin(TIMEOUT);
        }
    }

    /** Guards against a stop that outlasts its time, so that the process is killed and its callers get no response. */
    @ParameterizedTest
    @CsvSource({"entry, 1, may-have-run", "slot, 2, not-run"})
    void endsRequestsThatAreLeftAtTheEndOfAStop(String role, int requests, String lastVerdict) throws Exception {
        List<String> flags = List.of("--stop-timeout-seconds", "1");
        List<String> slotFlags = List.of("--stop-timeout-seconds", "1", "--maximum-concurrent", "1");
        try (StoppedFleet fleet = new StoppedFleet(flags, slotFlags);
                SlowCaller first = SlowCaller.connect(fleet.entryUri());
                SlowCaller last = SlowCaller.connect(fleet.entryUri())) {
            first.send("/v1/services/orders/held", "{}");
            await().atMost(TIMEOUT).until(() -> fleet.begunRequests() == 1);
            if (requests == 2) {
                last.send("/v1/services/orders/held", "{}");
                TimeUnit.MILLISECONDS.sleep(STOP_BEGINS_MILLIS);
            }
            CompletableFuture<Void> stopped =
                    (role.equals("entry") ? fleet.entry().stop() : fleet.slot().stop()).toCompletableFuture();

            assertThat(first.readResponse().header(VERDICT)).isEqualTo("may-have-run");
            if (requests == 2) {
                assertThat(last.readResponse().header(VERDICT)).isEqualTo(lastVerdict);
            }
            first.close();
            last.close();
            assertThat(stopped).succeedsWithin(TIMEOUT);
        }
    }

    /** Guards against a slot process that closes before the last responses are sent to an entry that reads slowly. */
    @Test
    void sendsTheLastResponsesOfAStoppedSlotProcess() throws Exception {
        int requests = 6;
        try (StoppedFleet fleet = new StoppedFleet(List.of(), List.of());
                SlowEntry entry = SlowEntry.connect(fleet.slotAddress())) {
            for (int request = 0; request < requests; request++) {
                entry.send("/large/held");
            }
            await().atMost(TIMEOUT).until(() -> fleet.begunRequests() == requests);
            CompletableFuture<Void> stopped = fleet.slot().stop().toCompletableFuture();
            entry.stopReading();
            fleet.release();
            TimeUnit.SECONDS.sleep(1);
            entry.readAll();

            await().atMost(TIMEOUT).until(() -> entry.isClosed());
            assertThat(entry.answeredRequests()).isEqualTo(requests);
            assertThat(stopped).succeedsWithin(TIMEOUT);
        }
    }
}
