package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.gateway.UnstartedAttempts.UnstartedAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UnstartedAttemptsTest {
    private static final Duration WITHIN = Duration.ofMillis(200);

    private final ManualTimers timers = new ManualTimers();
    private final Map<String, Long> required = new HashMap<>();
    private final List<UnstartedAttempt> withdrawn = new ArrayList<>();
    private final UnstartedAttempts attempts = new UnstartedAttempts(
            timers, model -> required.containsKey(model) ? OptionalLong.of(required.get(model)) : OptionalLong.empty());

    /** An attempt whose engine has a version of the weights that a test may change. */
    private final class EngineAttempt implements UnstartedAttempt {
        private final Optional<String> model;
        private long version;

        EngineAttempt(Optional<String> model, long version) {
            this.model = model;
            this.version = version;
        }

        @Override
        public Optional<String> model() {
            return model;
        }

        @Override
        public long oldestPossibleVersion() {
            return version;
        }

        @Override
        public void withdraw(long requiredVersion) {
            withdrawn.add(this);
        }
    }

    /** Guards against an attempt that begins on an older version long after it was placed. */
    @ParameterizedTest
    @CsvSource({"m, 1, true", "m, 2, false", "m, 3, false", "other, 1, false", ", 0, false"})
    void withdrawsWhatMayBeginOnAnOlderVersion(String model, long version, boolean expected) {
        EngineAttempt attempt = new EngineAttempt(Optional.ofNullable(model), version);
        attempts.add(attempt);
        timers.advance(Duration.ofSeconds(5));
        assertThat(withdrawn).isEmpty();
        required.put("m", 2L);
        timers.advance(WITHIN);
        assertThat(withdrawn.contains(attempt)).isEqualTo(expected);
    }

    /** Guards against the loss of an attempt that has begun in time, or whose engine has loaded the newer version. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void keepsWhatIsInOrder(boolean begins, long newVersion) {
        EngineAttempt attempt = new EngineAttempt(Optional.of("m"), 1);
        attempts.add(attempt);
        if (begins) {
            attempts.remove(attempt);
        }
        attempt.version = newVersion;
        required.put("m", 2L);
        timers.advance(WITHIN);
        assertThat(withdrawn).isEmpty();
    }

    @Test
    void withdrawsEachAttemptOnce() {
        attempts.add(new EngineAttempt(Optional.of("m"), 1));
        required.put("m", 2L);
        timers.advance(WITHIN);
        attempts.add(new EngineAttempt(Optional.of("m"), 1));
        timers.advance(WITHIN.multipliedBy(5));
        assertThat(withdrawn).hasSize(2).doesNotHaveDuplicates();
    }
}
