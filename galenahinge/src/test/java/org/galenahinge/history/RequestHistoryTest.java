package org.galenahinge.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestHistoryTest {
    private final RequestHistory.Collector collector = RequestHistory.collect("r1");

    @ParameterizedTest
    @CsvSource({
        "full, 503, it has not run",
        "coming, 503, did not hold the wanted weights",
        "may_have_run, 502, Failed with status 502 (it may have run)",
        "unconfigured, 503, had just started",
        "paused, 503, it has not run",
        "no_route, 404, it was not sent on",
    })
    void explainsWhyARequestWasRejectedOrFailed(String reason, int status, String expected) {
        add(1_000, "entry", "refused", "\"request\":\"r1\",\"status\":" + status + ",\"reason\":\"" + reason + "\"");
        assertThat(collector.toHistory().cause().orElseThrow()).contains(expected);
    }

    /** Guards against a rejection for an evacuation that is explained by the configuration. */
    @Test
    void namesTheEvacuationDuringTheRequest() {
        add(1_000, "entry", "evacuation_begun", "\"zone\":\"zone-b\"");
        add(1_040, "entry", "refused", "\"request\":\"r1\",\"status\":503,\"reason\":\"evacuated\"");
        assertThat(collector.toHistory().cause().orElseThrow()).contains("logged evacuation_begun");
    }

    /** Names a loss that the node of the request logged during the request, not the later line of another node. */
    @Test
    void namesTheUpstreamLostDuringTheRequest() {
        add(9_000, "other", "upstream_absent", "\"upstream\":\"u7\"");
        add(1_000, "entry", "placed", "\"request\":\"r1\",\"upstream\":\"u7\"");
        add(1_400, "entry", "upstream_absent", "\"upstream\":\"u7\"");
        add(1_450, "entry", "attempt_failed", "\"request\":\"r1\",\"upstream\":\"u7\",\"detail\":\"connection reset\"");
        add(1_451, "entry", "refused", "\"request\":\"r1\",\"status\":502,\"reason\":\"may_have_run\"");
        RequestHistory history = collector.toHistory();
        assertThat(history.cause().orElseThrow())
                .contains("u7")
                .contains("connection reset")
                .contains("logged upstream_absent 400 ms after the request began");
        assertThat(history.requestLines())
                .extracting(LogLine::event)
                .containsExactly("placed", "attempt_failed", "refused");
        assertThat(history.surroundingLines()).extracting(LogLine::node).containsExactly("entry");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsARestartOfTheProcessDuringTheRequest(boolean startedAgain) {
        add(1_000, "entry", "placed", "\"request\":\"r1\",\"upstream\":\"u7\"");
        if (startedAgain) {
            add(2_500, "entry", "started", "\"role\":\"entry\"");
        }
        RequestHistory history = collector.toHistory();
        assertThat(history.cause().orElseThrow().contains("started again 1500 ms later"))
                .isEqualTo(startedAgain);
    }

    @Test
    void describesTheAttemptBeforeTheResponse() {
        add(1_000, "entry", "attempt_failed", "\"request\":\"r1\",\"upstream\":\"u1\",\"next\":\"SEND_AGAIN\"");
        add(1_001, "entry", "placed", "\"request\":\"r1\",\"upstream\":\"u2\",\"waited_ms\":250");
        add(1_900, "entry", "answered", "\"request\":\"r1\",\"upstream\":\"u2\",\"status\":200");
        assertThat(collector.toHistory().cause().orElseThrow())
                .contains("u2 answered with status 200")
                .contains("waited 250 ms")
                .contains("upstream u1 failed");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "{", "{}", "[1]", "{\"at\":\"x\",\"node\":\"n\",\"event\":\"e\"}", "text without a line"})
    void ignoresTextThatIsNotALogLine(String text) {
        assertThat(LogLine.parse(text)).isEmpty();
        collector.add(text);
        assertThat(collector.toHistory().cause()).isEqualTo(Optional.empty());
    }

    private void add(long atMillis, String node, String event, String fields) {
        collector.add("  1.250 " + node + " | {\"at\":" + atMillis + ",\"node\":\"" + node + "\",\"event\":\"" + event
                + "\"," + fields + "}");
    }
}
