package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.junit.jupiter.api.Test;

/**
 * A wave of crashes as seven entries saw it: each prompt with one part crashes several upstreams, and sound requests that
 * are sent again are soon there at three crashes, too.
 */
class CrashWaveTest {
    private static final RequestTrait CRASHING = RequestTrait.ofPart("430606ff9778");
    private static final RequestTrait SERVED_PART = RequestTrait.ofPart("870a39504764");
    private static final int CERTAIN_CRASHES = 5;
    private static final Duration SETTLE_TIME = Duration.ofMillis(700);

    private final CrashLedger ledger = CrashLedger.create(trait -> false);
    private final Set<Long> crashed = new HashSet<>();
    private long knownNanos = Long.MAX_VALUE;

    /** Guards against whole requests that explain the crashes of a part away, so that the part reaches upstreams again. */
    @Test
    void keepsThePartAndBlamesNoOtherRequest() throws IOException {
        for (Sighting sighting : sightings()) {
            assertQuarantined(sighting.nanos());
            ledger.recordServed(List.of(SERVED_PART), sighting.nanos());
            ledger.add(new AgedCrash(sighting.crash(), Duration.ZERO), sighting.nanos());
            crashed.add(sighting.crash().upstream());
            if (crashed.size() == CERTAIN_CRASHES && knownNanos == Long.MAX_VALUE) {
                knownNanos = sighting.nanos() + SETTLE_TIME.toNanos();
            }
        }
        for (int second = 1; second < 60; second++) {
            assertQuarantined(knownNanos + Duration.ofSeconds(second).toNanos());
        }
    }

    private void assertQuarantined(long nowNanos) {
        ledger.recordServed(List.of(SERVED_PART), nowNanos);
        if (nowNanos - knownNanos > 0) {
            assertThat(ledger.quarantined(nowNanos)).containsExactly(Set.of(CRASHING));
        }
    }

    /** What one entry saw of a crash. */
    private record Sighting(long nanos, Crash crash) {
        /** Reads a line: milliseconds, number of the upstream, traits; those of whole requests begin with an exclamation mark. */
        static Sighting parse(String line) {
            String[] words = line.split(" ");
            Set<RequestTrait> traits =
                    Stream.of(words).skip(2).map(Sighting::trait).collect(Collectors.toSet());
            long nanos = Duration.ofMillis(Long.parseLong(words[0])).toNanos();
            return new Sighting(nanos, new Crash(Long.parseLong(words[1]), traits, Set.of()));
        }

        private static RequestTrait trait(String word) {
            return word.startsWith("!")
                    ? RequestTrait.ofRequest(Long.parseUnsignedLong(word.substring(1), 16))
                    : RequestTrait.ofPart(word);
        }
    }

    private static List<Sighting> sightings() throws IOException {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                Objects.requireNonNull(CrashWaveTest.class.getResourceAsStream("crash-wave.txt")),
                StandardCharsets.UTF_8))) {
            return reader.lines().map(Sighting::parse).toList();
        }
    }
}
