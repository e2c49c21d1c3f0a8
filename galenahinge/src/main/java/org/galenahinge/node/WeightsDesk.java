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
import org.galenahinge.supply.WeightsCache.Offer;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/** Answers slot processes and other entries that ask an entry for weights. Belongs to one thread. */
final class WeightsDesk {
    /** The version that engines hold before any was named. */
    private static final long FIRST_VERSION = 1;

    private static final long PLACE_KEY = Rendezvous.key("load");
    private static final int MOST_WAITING = 1_000;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

    private final FleetFacts facts;
    private final WeightsCache shelves;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final WaitList<Waiting> waiting;

    private record Waiting(Supplier<Optional<Offer>> offer, String upstream, Consumer<HttpDocument> reply) {}

    WeightsDesk(FleetFacts facts, WeightsCache shelves, Timers timers, Supplier<List<String>> nodes) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.shelves = Objects.requireNonNull(shelves, "shelves");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        this.waiting = new WaitList<>(timers, MOST_WAITING);
        shelves.onChange(this::manifestCame);
    }

    /** Takes in that the facts have changed: versions may be named that are not here. */
    void factsChanged() {
        facts.catalog()
                .ifPresent(catalog -> catalog.services().values().stream()
                        .flatMap(service -> service.engine().stream())
                        .map(EngineProfile::models)
                        .flatMap(List::stream)
                        .forEach(this::want));
    }

    /**
     * Answers a request, if it is one for weights.
     *
     * @param query the request
     * @param reply takes the answer
     * @return whether it was
     */
    boolean answer(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        switch (query.path()) {
            case "/weights" -> answerWanted(query, reply);
            case "/manifest" -> answerManifest(query, reply);
            case "/chunk" -> answerChunk(query, reply);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void want(String model) {
        var named = facts.newestNamed(model);
        if (named.isPresent()) {
            shelves.add(named.get().weights(), named.get().namedNanos());
        } else {
            shelves.add(new WeightsVersion(model, FIRST_VERSION), timers.nanoTime());
        }
    }

    private void answerWanted(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        String service = NodeQuery.text(query, "service");
        long known = NodeQuery.number(query, "known");
        await(() -> modelOf(service).flatMap(shelves::offer).filter(offer -> versionOf(offer) != known), query, reply);
    }

    private void answerManifest(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        WeightsVersion weights = new WeightsVersion(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        await(() -> shelves.find(weights), query, reply);
    }

    private void await(Supplier<Optional<Offer>> offer, QueryStringDecoder query, Consumer<HttpDocument> reply) {
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), LONGEST_WAIT.toMillis()));
        String upstream = NodeQuery.text(query, "upstream");
        Waiting one = new Waiting(offer, upstream, reply);
        if (offer.get().isPresent() || waiting.isFull() || wait.isZero()) {
            answer(one);
            return;
        }
        waiting.add(one, wait, this::answer);
    }

    private void manifestCame() {
        waiting.removeReady(one -> one.offer().get().isPresent(), this::answer);
    }

    private void answer(Waiting one) {
        Optional<Offer> offer = one.offer().get();
        Optional<WeightsDigests> digests = offer.map(Offer::digests);
        Duration age = offer.map(Offer::age).orElse(Duration.ZERO);
        byte[] answer = EntryWeights.write(digests, age, plan(digests, one.upstream()), nodes.get());
        one.reply().accept(HttpDocument.bytes(200, answer));
    }

    private LoadSchedule plan(Optional<WeightsDigests> digests, String upstream) {
        long now = timers.nanoTime();
        List<LoadSchedule.NamedVersion> versions = digests.stream()
                .flatMap(known -> facts.recentlyNamed(known.weights().model()).stream())
                .map(named -> new LoadSchedule.NamedVersion(
                        named.weights().version(), Duration.ofNanos(now - named.namedNanos())))
                .toList();
        return new LoadSchedule(versions, placeOf(upstream));
    }

    /** The place of an engine among those of its service, in an order that mixes failure domains and is the same everywhere. */
    private double placeOf(String address) {
        Optional<Upstream> self = facts.upstreams().stream()
                .filter(upstream -> upstream.address().toString().equals(address))
                .findFirst();
        if (self.isEmpty()) {
            return 0;
        }
        List<String> order = facts.upstreams().stream()
                .filter(upstream -> upstream.service().equals(self.get().service()) && !upstream.leaving())
                .map(Upstream::id)
                .sorted(Comparator.comparingLong(id -> Rendezvous.hash(id, PLACE_KEY)))
                .toList();
        int place = order.indexOf(self.get().id());
        return order.size() < 2 || place < 0 ? 0 : (double) place / (order.size() - 1);
    }

    private void answerChunk(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        WeightsVersion weights = new WeightsVersion(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), LONGEST_WAIT.toMillis()));
        shelves.requestChunk(
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

    private static long versionOf(Offer offer) {
        return offer.digests().weights().version();
    }
}
