package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Optional;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;

/** The checks that a request passes before it is placed, in their order. */
final class CallFilters {
    private static final Duration UNCONFIGURED_RETRY = Duration.ofMillis(300);

    private CallFilters() {}

    /** What the checks end with: the request admitted, or the answer to it. */
    sealed interface Result {
        record Passed(Admitted admitted) implements Result {}

        record Stopped(Refusal refusal) implements Result {}
    }

    /**
     * Checks a request.
     *
     * @param call the request
     * @param catalog the configuration, if there is one yet
     * @param draw a random number from 0 to 1, for routes with several backends
     * @return what became of it
     */
    static Result check(Call call, Optional<Catalog> catalog, double draw) {
        if (catalog.isEmpty()) {
            return stopped(Refusal.notRun("unconfigured", "no configuration is known yet", UNCONFIGURED_RETRY));
        }
        String host = call.headers().get("Host", "");
        Optional<Route> route = catalog.get().routes().find(host, call.path());
        if (route.isEmpty()) {
            return stopped(Refusal.of(404, "no_route", "no route takes this host and path"));
        }
        Optional<Organisation> organisation =
                call.head().key().map(catalog.get().organisations()::get);
        boolean needsKey =
                !catalog.get().organisations().isEmpty() && !route.get().allowsAnonymous();
        if (needsKey && organisation.isEmpty()) {
            return stopped(Refusal.of(401, "unknown_key", "the key is not known"));
        }
        return new Result.Passed(new Admitted(route.get(), route.get().pickService(draw), organisation));
    }

    private static Result stopped(Refusal refusal) {
        return new Result.Stopped(refusal);
    }
}
