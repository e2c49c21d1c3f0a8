package org.galenahinge.gateway;

import java.util.ArrayList;
import java.util.List;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.quarantine.RequestTrait;

/** Finds the traits of a request that may crash upstreams. */
final class RequestTraits {
    private RequestTraits() {}

    /** Returns the shared parts of the prompt, and as the last trait the request as a whole. */
    static List<RequestTrait> of(CallerRequest request, AdmittedRequest admitted) {
        List<RequestTrait> traits = new ArrayList<>(request.metadata().sharedParts());
        String address = admitted.route().host() + request.uri();
        String caller = admitted.organisation()
                .map(Organisation::name)
                .or(request.metadata()::apiKey)
                .orElse("");
        traits.add(RequestTrait.ofRequest(request.method().name(), address, caller, request.body()));
        return List.copyOf(traits);
    }
}
