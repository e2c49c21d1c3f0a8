package org.galenahinge.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.Route;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.MixedPromptSizes;
import org.galenahinge.placement.PromptSizePolicy;

/** Holds how each service treats prompts of different sizes, by the configuration in force. Used by one thread only. */
final class PromptSizePolicies {
    private final EventLog log;
    private Map<String, PromptSizePolicy> byService = Map.of();
    private OptionalLong version = OptionalLong.empty();

    PromptSizePolicies(EventLog log, MetricRegistry registry) {
        this.log = log;
        registry.gauge("services.prompt_sizes", () -> () -> byService.size());
    }

    /** Applies a configuration, unless its version is in force already. */
    void refresh(Optional<Catalog> catalog) {
        if (catalog.isEmpty() || version.equals(OptionalLong.of(catalog.get().version()))) {
            return;
        }
        version = OptionalLong.of(catalog.get().version());
        Map<String, PromptSizePolicy> next = select(catalog.get());
        logChanges(next.keySet());
        byService = next;
    }

    PromptSizePolicy of(String service) {
        return byService.getOrDefault(service, PromptSizePolicy.NONE);
    }

    private static Map<String, PromptSizePolicy> select(Catalog catalog) {
        Map<String, List<Route>> routes = new HashMap<>();
        for (Route route : catalog.routes().routes()) {
            for (Backend backend : route.backends()) {
                routes.computeIfAbsent(backend.service(), service -> new ArrayList<>())
                        .add(route);
            }
        }
        Map<String, PromptSizePolicy> selected = new HashMap<>();
        routes.forEach((service, known) -> {
            PromptSizePolicy policy = MixedPromptSizes.select(catalog.engineProfile(service), known);
            if (!policy.equals(PromptSizePolicy.NONE)) {
                selected.put(service, policy);
            }
        });
        return selected;
    }

    private void logChanges(Set<String> next) {
        Set<String> services = new HashSet<>(next);
        services.addAll(byService.keySet());
        services.removeIf(service -> next.contains(service) == byService.containsKey(service));
        services.forEach(service -> log.event(EventLog.Category.BELIEF, "prompt_sizes")
                .with("service", service)
                .with("enabled", String.valueOf(next.contains(service)))
                .write());
    }
}
