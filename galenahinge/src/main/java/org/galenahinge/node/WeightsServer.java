package org.galenahinge.node;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.WaitList;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.http.HttpServer;
import org.galenahinge.routing.Rendezvous;
import org.galenahinge.supply.LoadSchedule;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/** Serves weights over HTTP to slot processes and other entries. Not thread-safe. */
final class WeightsServer {
    /** The version that engines have loaded before the store names any. */
    private static final long FIRST_VERSION = 1;

    private static final long RELOAD_ORDER_KEY = Rendezvous.key("load");
    private static final int MAXIMUM_WAITING_REQUESTS = 1_000;
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(2);

    private final FleetFacts facts;
    private final WeightsCache cache;
    private final Supplier<List<String>> nodes;
    private final WaitList<PendingRequest> waiting;

    private record PendingRequest(
            Supplier<Optional<WeightsDigests>> offer,
            Supplier<Optional<String>> model,
            String upstream,
            Consumer<HttpDocument> reply) {}

    WeightsServer(FleetFacts facts, WeightsCache cache, Timers timers, Supplier<List<String>> nodes) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.cache = Objects.requireNonNull(cache, "cache");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        this.waiting = new WaitList<>(timers, MAXIMUM_WAITING_REQUESTS);
        cache.onChange(this::respondToWaiting);
    }

    /** Called after the facts have changed: fetches the versions that they name. */
    void factsChanged() {
        facts.catalog()
                .ifPresent(catalog -> catalog.services().values().stream()
                        .flatMap(service -> service.engine().stream())
                        .map(EngineProfile::models)
                        .flatMap(List::stream)
                        .forEach(this::fetchNamedVersion));
    }

    /**
     * Handles a request if its path is one of {@code /weights}, {@code /manifest} and {@code /chunk}.
     *
     * @param query the path and query of the request
     * @param reply receives the response, at once or within the time that the request allows
     * @return whether the path is one of these
     */
    boolean handle(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        switch (query.path()) {
            case "/weights" -> handleServiceWeights(query, reply);
            case "/manifest" -> handleManifest(query, reply);
            case "/chunk" -> handleChunk(query, reply);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void fetchNamedVersion(String model) {
        cache.add(facts.newestNamed(model).orElseGet(() -> new WeightsVersion(model, FIRST_VERSION)));
    }

    private void handleServiceWeights(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        String service = NodeQuery.text(query, "service");
        long known = NodeQuery.number(query, "known");
        respondWhenAvailable(
                () -> modelOf(service)
                        .flatMap(cache::offer)
                        .filter(digests -> digests.weights().version() != known),
                () -> modelOf(service),
                query,
                reply);
    }

    private void handleManifest(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        WeightsVersion weights = new WeightsVersion(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        respondWhenAvailable(() -> cache.find(weights), () -> Optional.of(weights.model()), query, reply);
    }

    private void respondWhenAvailable(
            Supplier<Optional<WeightsDigests>> offer,
            Supplier<Optional<String>> model,
            QueryStringDecoder query,
            Consumer<HttpDocument> reply) {
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), MAXIMUM_WAIT.toMillis()));
        String upstream = NodeQuery.text(query, "upstream");
        PendingRequest pending = new PendingRequest(offer, model, upstream, reply);
        if (offer.get().isPresent() || waiting.isFull() || wait.isZero()) {
            respond(pending);
            return;
        }
        waiting.add(pending, wait, this::respond);
    }

    private void respondToWaiting() {
        waiting.removeReady(pending -> pending.offer().get().isPresent(), this::respond);
    }

    /** Responds also without an offer: the ages of versions may have become known since the last response. */
    private void respond(PendingRequest pending) {
        Optional<WeightsDigests> digests = pending.offer().get();
        byte[] body = EntryWeightsClient.encode(digests, plan(pending.model().get(), pending.upstream()), nodes.get());
        pending.reply().accept(HttpDocument.bytes(200, body));
    }

    private LoadSchedule plan(Optional<String> model, String upstream) {
        List<NamedVersion> versions = model.map(facts::recentlyNamed).orElse(List.of());
        return new LoadSchedule(versions, reloadPosition(upstream));
    }

    /**
     * Returns the position of an engine in the reload order of its service, from 0 to 1. All nodes compute the same
     * order, which mixes failure domains.
     */
    private double reloadPosition(String address) {
        Optional<Upstream> self = facts.upstreams().stream()
                .filter(upstream -> upstream.address().toString().equals(address))
                .findFirst();
        if (self.isEmpty()) {
            return 0;
        }
        List<String> order = facts.upstreams().stream()
                .filter(upstream -> upstream.service().equals(self.get().service()) && !upstream.leaving())
                .map(Upstream::id)
                .sorted(Comparator.comparingLong(id -> Rendezvous.hash(id, RELOAD_ORDER_KEY)))
                .toList();
        int index = order.indexOf(self.get().id());
        return order.size() < 2 || index < 0 ? 0 : (double) index / (order.size() - 1);
    }

    private void handleChunk(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        WeightsVersion weights = new WeightsVersion(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), MAXIMUM_WAIT.toMillis()));
        cache.requestChunk(
                weights,
                (int) NodeQuery.number(query, "number"),
                wait,
                chunk -> reply.accept(
                        chunk.map(bytes -> HttpDocument.bytes(200, bytes)).orElseGet(HttpServer::notFound)));
    }

    private Optional<String> modelOf(String service) {
        return facts.catalog()
                .flatMap(catalog -> catalog.engineProfile(service))
                .flatMap(engine -> engine.models().stream().findFirst());
    }
}
