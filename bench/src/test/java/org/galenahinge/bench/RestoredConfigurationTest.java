package org.galenahinge.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests an entry on the system's own path before a configuration service that is restored from an older state. */
class RestoredConfigurationTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    /** Guards against a ticket that is never read because its revision was given out before to another one. */
    @Test
    void readsATicketUnderARevisionThatWasGivenOutBefore() throws IOException {
        try (InProcessFleet fleet = new InProcessFleet()) {
            publish(fleet, 5);
            awaitInForce(fleet, 5);
            publish(fleet, 6);
            awaitInForce(fleet, 6);
            fleet.restoreConfiguration(1);
            publish(fleet, 7);
            awaitInForce(fleet, 7);
        }
    }

    private static void publish(InProcessFleet fleet, long number) {
        fleet.publish(
                number,
                "{\"number\": " + number + ", \"groups\": [{\"group\": \"orders\", \"vms\": [\"order-1\"], "
                        + "\"service\": \"orders\", \"repeatable\": false}]}");
    }

    private static void awaitInForce(InProcessFleet fleet, long number) {
        assertThat(HttpTool.await(
                        fleet.entryUrl() + "/v1/operations/tickets/" + number,
                        status -> status.path("state").asText().equals("in-force"),
                        TIMEOUT))
                .isPresent();
    }
}
