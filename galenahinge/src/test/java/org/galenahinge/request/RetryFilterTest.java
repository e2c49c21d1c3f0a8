package org.galenahinge.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.stream.javadsl.Source;
import org.galenahinge.limit.Priority;
import org.galenahinge.log.DecisionLog;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryFilterTest {
    /** Guards against the verdict "not run" for a request whose first attempt may have run. */
    @ParameterizedTest
    @CsvSource({
        "not-run, not-run",
        "may-have-run not-run, may-have-run",
        "not-run may-have-run not-run, may-have-run",
        "may-have-run not-run answered, answered"
    })
    void keepsThatAnEarlierAttemptMayHaveRun(String attempts, String expected) {
        Deque<String> verdicts = new ArrayDeque<>(Arrays.asList(attempts.split(" ")));
        RetryFilter.Attempt attempt = (request, excluded) -> {
            String vm = verdicts.size() == 1 ? "" : "vm-" + verdicts.size();
            return CompletableFuture.completedFuture(response(verdicts.remove(), vm));
        };
        MetricRegistry metrics = new MetricRegistry();
        RetryFilter filter = new RetryFilter(attempt, DecisionLog.create(1, metrics), metrics);

        Response response = filter.handle(request()).toCompletableFuture().join();

        assertThat(response.verdict().label()).isEqualTo(expected);
        assertThat(verdicts).isEmpty();
    }

    private static Response response(String verdict, String vm) {
        return switch (verdict) {
            case "not-run" -> Response.of(Verdict.notRun(Reason.UNREACHABLE, "closed", Duration.ZERO), vm);
            case "may-have-run" -> Response.of(Verdict.mayHaveRun(Reason.CONNECTION_LOST, "lost"), vm);
            default -> new Response(Verdict.answered(), 200, "", "", vm, Source.empty());
        };
    }

    private static Request request() {
        return new Request(
                "request-1",
                "organisation",
                Priority.INTERACTIVE,
                new Target.Service("orders"),
                "/",
                ByteString.EMPTY,
                false,
                0,
                Optional.empty(),
                true,
                System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
    }
}
