package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Optional;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;

/** Checks a request against the configuration before it is placed: route first, then API key. */
final class RequestChecks {
    private static final Duration UNCONFIGURED_RETRY_AFTER = Duration.ofMillis(300);
    private static final Duration UNCONFIRMED_RETRY_AFTER = Duration.ofMillis(500);

    private RequestChecks() {}

    /** The result of the checks: the admitted request or its rejection. */
    sealed interface Result {
        record Admitted(AdmittedRequest request) implements Result {}

        record Rejected(Rejection rejection) implements Result {}
    }

    /**
     * Checks a request.
     *
     * @param request the request
     * @param catalog the configuration, empty until the first one has been read
     * @param confirmed whether the configuration is known to be the newest one that must be in force
     * @param random a random number from 0 to 1 that selects among several backends of a route
     * @return the result
     */
    static Result check(CallerRequest request, Optional<Catalog> catalog, boolean confirmed, double random) {
        if (catalog.isEmpty()) {
            return rejected(unconfigured());
        }
        String host = request.headers().get("Host", "");
        Optional<Route> route = catalog.get().routes().find(host, request.path());
        if (route.isEmpty()) {
            return rejected(
                    denial(catalog, confirmed, Rejection.of(404, "no_route", "no route matches this host and path")));
        }
        Optional<Organisation> organisation =
                request.metadata().apiKey().flatMap(catalog.get().apiKeys()::organisation);
        boolean needsApiKey =
                catalog.get().apiKeys().areRequired() && !route.get().allowsAnonymous();
        if (needsApiKey && organisation.isEmpty()) {
            return rejected(denial(catalog, confirmed, Rejection.of(401, "unknown_key", "the API key is not known")));
        }
        return new Result.Admitted(AdmittedRequest.of(route.get(), route.get().pickService(random), organisation));
    }

    /**
     * Returns how a request is rejected that the configuration does not allow. One that may not be the newest can tell what it
     * allows, but not that nothing newer allows more.
     *
     * @param catalog the configuration, empty until the first one has been read
     * @param confirmed whether the configuration is known to be the newest one that must be in force
     * @param denial the rejection by a configuration that is known to be the newest
     * @return this rejection, or one that says that the request has not run
     */
    static Rejection denial(Optional<Catalog> catalog, boolean confirmed, Rejection denial) {
        if (catalog.isEmpty()) {
            return unconfigured();
        }
        if (confirmed) {
            return denial;
        }
        String detail = "it is not known whether this is the newest configuration, in which " + denial.detail();
        return Rejection.notRun(denial.reason() + "_unconfirmed", detail, UNCONFIRMED_RETRY_AFTER);
    }

    private static Rejection unconfigured() {
        return Rejection.notRun("unconfigured", "no configuration is known yet", UNCONFIGURED_RETRY_AFTER);
    }

    private static Result rejected(Rejection rejection) {
        return new Result.Rejected(rejection);
    }
}
