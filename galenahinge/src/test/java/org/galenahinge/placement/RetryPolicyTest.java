package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.placement.RetryPolicy.Next;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.placement.RetryPolicy.Progress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, NOT_SENT, SEND_AGAIN",
        "NON_IDEMPOTENT, NOT_RUN, SEND_AGAIN",
        "NON_IDEMPOTENT, FAILED, PASS_FAILURE",
        "NON_IDEMPOTENT, UNKNOWN, SAY_UNKNOWN",
        "STREAM, UNKNOWN, SAY_UNKNOWN",
        "RESUMABLE_STREAM, UNKNOWN, SEND_AGAIN",
        "IDEMPOTENT, FAILED, SEND_AGAIN",
        "IDEMPOTENT, UNKNOWN, SEND_AGAIN"
    })
    void decidesByRouteKind(RequestKind kind, Outcome outcome, Next expected) {
        Progress progress = new Progress(kind, 1, 2, false, true, true);
        assertThat(RetryPolicy.decide(progress, outcome)).isEqualTo(expected);
    }

    @Property(seed = "4711")
    void neverReportsNotRunForARequestThatMayHaveRun(
            @ForAll RequestKind kind,
            @ForAll Outcome outcome,
            @ForAll @IntRange(max = 4) int attempts,
            @ForAll boolean mayHaveRun,
            @ForAll boolean hasTime,
            @ForAll boolean hasBudget) {
        Next next = RetryPolicy.decide(new Progress(kind, attempts, 2, mayHaveRun, hasTime, hasBudget), outcome);
        boolean mayHaveRunNow = mayHaveRun || outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        assertThat(next == Next.REFUSE && mayHaveRunNow).isFalse();
        assertThat(next == Next.SEND_AGAIN && mayHaveRunNow && !kind.isIdempotent())
                .isFalse();
        assertThat(next == Next.SEND_AGAIN && outcome != Outcome.NOT_SENT && (attempts >= 2 || !hasBudget))
                .isFalse();
    }
}
