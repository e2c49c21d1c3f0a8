package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;

class NewUpstreamsTest {
    private static final long NOW = 50_000_000_000L;
    private static final long SECOND = 1_000_000_000L;

    private final NewUpstreams upstreams = new NewUpstreams();

    /** All VMs lost power: engines are used as soon as their slot processes tell of them. */
    @Test
    void addsThoseThatTheStoreDoesNotShowYet() {
        upstreams.listed(List.of(upstream("old")));
        assertThat(upstreams.heard(upstream("next"), NOW)).isTrue();
        assertThat(upstreams.heard(upstream("next"), NOW + SECOND)).isFalse();
        assertThat(upstreams.all(List.of(upstream("old"))))
                .extracting(Upstream::id)
                .containsExactlyInAnyOrder("old", "next");
    }

    /** A server may serve on after its entry was removed: nothing but the store brings it back. */
    @Test
    void leavesOutThoseThatTheStoreHasShown() {
        upstreams.heard(upstream("next"), NOW);
        upstreams.listed(List.of(upstream("next")));
        assertThat(upstreams.heard(upstream("next"), NOW)).isFalse();
        assertThat(upstreams.all(List.of())).isEmpty();
    }

    @Test
    void dropsThoseThatAreNoLongerToldOf() {
        upstreams.heard(upstream("next"), NOW);
        assertThat(upstreams.expire(NOW + SECOND)).isFalse();
        assertThat(upstreams.expire(NOW + 2 * SECOND)).isTrue();
        assertThat(upstreams.all(List.of())).isEmpty();
    }

    @Test
    void keepsABoundedNumber() {
        for (int number = 0; number < 10_000; number++) {
            upstreams.heard(upstream("next-" + number), NOW);
        }
        assertThat(upstreams.all(List.of())).hasSize(1_024);
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", new WireAddress("10.0.0.1", 80), "a", 16, false, Optional.empty(), 100, 0);
    }
}
