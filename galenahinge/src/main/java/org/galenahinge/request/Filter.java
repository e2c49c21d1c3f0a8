package org.galenahinge.request;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Does one job on the way of a request and hands it to the next filter, or answers it. */
@FunctionalInterface
public interface Filter {
    /**
     * Handles a call.
     *
     * @param call the call
     * @param next the rest of the chain
     * @return the answer
     */
    CompletionStage<Answer> apply(Call call, Next next);

    /** The rest of a chain. */
    @FunctionalInterface
    interface Next {
        /**
         * Hands a call on.
         *
         * @param call the call
         * @return the answer
         */
        CompletionStage<Answer> handle(Call call);
    }

    /**
     * Joins filters to a chain.
     *
     * @param filters the filters, first to last
     * @param last answers what passes all filters
     * @return the head of the chain
     */
    static Next chain(List<Filter> filters, Next last) {
        Next next = last;
        for (int index = filters.size() - 1; index >= 0; index--) {
            Filter filter = filters.get(index);
            Next rest = next;
            next = call -> filter.apply(call, rest);
        }
        return next;
    }
}
