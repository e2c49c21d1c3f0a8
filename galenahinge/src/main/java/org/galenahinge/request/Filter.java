package org.galenahinge.request;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** A step of the request path: passes a request on to the next filter, or responds to it. */
@FunctionalInterface
public interface Filter {
    /**
     * Handles a request.
     *
     * @param request the request
     * @param next the remaining filters of the chain
     * @return the response
     */
    CompletionStage<Response> apply(Request request, Next next);

    /** The remaining filters of a chain. */
    @FunctionalInterface
    interface Next {
        /**
         * Passes a request on.
         *
         * @param request the request
         * @return the response
         */
        CompletionStage<Response> handle(Request request);
    }

    /**
     * Combines filters into a chain.
     *
     * @param filters the filters, in the order in which they run
     * @param last responds to requests that pass all filters
     * @return the start of the chain
     */
    static Next chain(List<Filter> filters, Next last) {
        Next next = last;
        for (int index = filters.size() - 1; index >= 0; index--) {
            Filter filter = filters.get(index);
            Next following = next;
            next = request -> filter.apply(request, following);
        }
        return next;
    }
}
