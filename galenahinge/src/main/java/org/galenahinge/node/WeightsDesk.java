package org.galenahinge.node;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.catalog.EngineFigures;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.http.HttpServer;
import org.galenahinge.routing.Rendezvous;
import org.galenahinge.supply.LoadPlan;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.supply.WeightsLibrary;
import org.galenahinge.supply.WeightsLibrary.Offer;
import org.galenahinge.upstream.HeldWeights;
import org.galenahinge.upstream.Upstream;

/** Answers slot processes and other entries that ask an entry for weights. Belongs to one thread. */
final class WeightsDesk {
    /** The version that engines hold before any was named. */
    private static final long FIRST_VERSION = 1;

    private static final long PLACE_KEY = Rendezvous.key("load");
    private static final int MOST_WAITING = 1_000;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

    private final FleetFacts facts;
    private final WeightsLibrary shelves;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(
            Supplier<Optional<Offer>> offer, String upstream, Consumer<HttpDocument> reply, Timers.Timer timer) {}

    WeightsDesk(FleetFacts facts, WeightsLibrary shelves, Timers timers, Supplier<List<String>> nodes) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.shelves = Objects.requireNonNull(shelves, "shelves");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        shelves.onChange(this::manifestCame);
    }

    /** Takes in that the facts have changed: versions may be named that are not here. */
    void factsChanged() {
        facts.catalog()
                .ifPresent(catalog -> catalog.services().values().stream()
                        .flatMap(service -> service.engine().stream())
                        .map(EngineFigures::models)
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
        var named = facts.namedOf(model);
        if (named.isPresent()) {
            shelves.want(named.get().weights(), named.get().sinceNanos());
        } else {
            shelves.want(new HeldWeights(model, FIRST_VERSION), timers.nanoTime());
        }
    }

    private void answerWanted(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        String service = NodeQuery.text(query, "service");
        long known = NodeQuery.number(query, "known");
        await(() -> modelOf(service).flatMap(shelves::offer).filter(offer -> versionOf(offer) != known), query, reply);
    }

    private void answerManifest(QueryStringDecoder query, Consumer<HttpDocument> reply) {
        HeldWeights weights = new HeldWeights(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        await(() -> shelves.find(weights), query, reply);
    }

    private void await(Supplier<Optional<Offer>> offer, QueryStringDecoder query, Consumer<HttpDocument> reply) {
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), LONGEST_WAIT.toMillis()));
        String upstream = NodeQuery.text(query, "upstream");
        if (offer.get().isPresent() || waiting.size() >= MOST_WAITING || wait.isZero()) {
            answer(offer.get(), upstream, reply);
            return;
        }
        Waiting[] holder = new Waiting[1];
        Timers.Timer timer = timers.schedule(wait, () -> {
            waiting.remove(holder[0]);
            answer(offer.get(), upstream, reply);
        });
        holder[0] = new Waiting(offer, upstream, reply, timer);
        waiting.add(holder[0]);
    }

    private void manifestCame() {
        for (Waiting one : List.copyOf(waiting)) {
            Optional<Offer> offer = one.offer().get();
            if (offer.isPresent()) {
                waiting.remove(one);
                one.timer().cancel();
                answer(offer, one.upstream(), one.reply());
            }
        }
    }

    private void answer(Optional<Offer> offer, String upstream, Consumer<HttpDocument> reply) {
        Optional<WeightsDigests> digests = offer.map(Offer::digests);
        Duration age = offer.map(Offer::age).orElse(Duration.ZERO);
        reply.accept(HttpDocument.bytes(200, EntryWeights.write(digests, age, plan(digests, upstream), nodes.get())));
    }

    private LoadPlan plan(Optional<WeightsDigests> digests, String upstream) {
        long now = timers.nanoTime();
        List<LoadPlan.NamedVersion> versions = digests.stream()
                .flatMap(known -> facts.allNamed(known.weights().model()).stream())
                .map(named -> new LoadPlan.NamedVersion(
                        named.weights().version(), Duration.ofNanos(now - named.sinceNanos())))
                .toList();
        return new LoadPlan(versions, placeOf(upstream));
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
        HeldWeights weights = new HeldWeights(NodeQuery.text(query, "model"), NodeQuery.number(query, "version"));
        Duration wait = Duration.ofMillis(Math.min(NodeQuery.number(query, "wait"), LONGEST_WAIT.toMillis()));
        shelves.give(
                weights,
                (int) NodeQuery.number(query, "number"),
                wait,
                chunk -> reply.accept(
                        chunk.map(bytes -> HttpDocument.bytes(200, bytes)).orElseGet(HttpServer::nothing)));
    }

    private Optional<String> modelOf(String service) {
        return facts.catalog()
                .flatMap(catalog -> catalog.engineOf(service))
                .flatMap(engine -> engine.models().stream().findFirst());
    }

    private static long versionOf(Offer offer) {
        return offer.digests().weights().version();
    }
}
