package org.galenahinge.gateway;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.quarantine.RequestTrait;

/**
 * The traits of a request that may crash upstreams.
 *
 * @param sharedParts the parts of its prompt that other requests may contain
 * @param identity the request as a whole, the same trait for each repetition by its caller
 * @param all the parts and the identity
 */
record RequestTraits(List<RequestTrait> sharedParts, RequestTrait identity, List<RequestTrait> all) {
    RequestTraits {
        sharedParts = List.copyOf(sharedParts);
        Objects.requireNonNull(identity, "identity");
        all = List.copyOf(all);
    }

    static RequestTraits of(CallerRequest request, AdmittedRequest admitted) {
        String address = admitted.route().host() + request.uri();
        String caller = admitted.organisation()
                .map(Organisation::name)
                .or(request.metadata()::apiKey)
                .orElse("");
        RequestTrait identity = RequestTrait.ofRequest(request.method().name(), address, caller, request.body());
        List<RequestTrait> parts = request.metadata().sharedParts();
        List<RequestTrait> all =
                Stream.concat(parts.stream(), Stream.of(identity)).toList();
        return new RequestTraits(parts, identity, all);
    }
}
