package org.galenahinge.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/**
 * What this node believes of the fleet: the configuration, the upstreams and the versions that they are to hold. Belongs
 * to one thread.
 *
 * <p>The configuration and the named versions only go up. An entry that lapses right after the store was away is kept
 * for {@link #LAPSE_GRACE}, since a living upstream writes it again.
 */
public final class FleetFacts {
    /** How long after the store's return a missing entry may still come back. */
    public static final Duration LAPSE_GRACE = Duration.ofSeconds(2);

    private static final int VERSIONS_REMEMBERED = 8;

    private final FactDecoder decoder;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, Upstream> upstreams = new TreeMap<>();
    private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
    private final Map<String, List<NamedWeights>> named = new TreeMap<>();
    private Optional<Catalog> catalog = Optional.empty();
    private Runnable changed = () -> {};
    private long graceUntilNanos;
    private boolean inGrace;
    private boolean begun;
    private long heardNanos;

    private FleetFacts(FactDecoder decoder, Timers timers, EventLog log) {
        this.decoder = decoder;
        this.timers = timers;
        this.log = log;
    }

    /**
     * Creates facts of which nothing is known yet.
     *
     * @param decoder tells what an item means
     * @param timers the clock
     * @param log where changes of belief are written
     * @return the facts
     */
    public static FleetFacts create(FactDecoder decoder, Timers timers, EventLog log) {
        return new FleetFacts(
                Objects.requireNonNull(decoder, "decoder"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"));
    }

    /**
     * Sets what runs after each change.
     *
     * @param newListener the listener
     */
    public void onChange(Runnable newListener) {
        changed = Objects.requireNonNull(newListener, "newListener");
    }

    /**
     * Takes in items that are new to this node.
     *
     * @param items the items, by revision
     */
    public void apply(List<FactItem> items) {
        apply(items, Duration.ZERO);
    }

    /**
     * Takes in items that are new to this node.
     *
     * @param items the items, by revision
     * @param olderBy how long before now they may have been published
     */
    public void apply(List<FactItem> items, Duration olderBy) {
        heardNanos = timers.nanoTime() - olderBy.toNanos();
        for (FactItem item : items) {
            apply(item, decoder.decode(item));
        }
        if (!items.isEmpty()) {
            begun = true;
            changed.run();
        }
    }

    /** Says that the store can be read again after it was away: entries missing now may come back. */
    public void storeReturned() {
        inGrace = true;
        graceUntilNanos = timers.nanoTime() + LAPSE_GRACE.toNanos();
        timers.schedule(LAPSE_GRACE, this::endGrace);
    }

    /**
     * Returns the configuration.
     *
     * @return the newest one, or empty before the first
     */
    public Optional<Catalog> catalog() {
        return catalog;
    }

    /**
     * Returns the upstreams.
     *
     * @return a view, sorted by id
     */
    public Collection<Upstream> upstreams() {
        return Collections.unmodifiableCollection(upstreams.values());
    }

    /**
     * Finds an upstream.
     *
     * @param id its id
     * @return the upstream, if its entry is there
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Finds the version that upstreams are to hold of a model.
     *
     * @param model the model's name
     * @return the newest version named, or empty when none was
     */
    public Optional<NamedWeights> namedOf(String model) {
        List<NamedWeights> versions = named.getOrDefault(model, List.of());
        return versions.isEmpty() ? Optional.empty() : Optional.of(versions.get(versions.size() - 1));
    }

    /**
     * Returns the versions of a model that were named lately.
     *
     * @param model the model's name
     * @return the versions, oldest first
     */
    public List<NamedWeights> allNamed(String model) {
        return named.getOrDefault(model, List.of());
    }

    /**
     * Finds the newest version of a model that has been named for a while.
     *
     * @param model the model's name
     * @param age how long ago it must have been named, at the least
     * @return the version, or empty when there is none
     */
    public OptionalLong namedBefore(String model, Duration age) {
        long now = timers.nanoTime();
        return named.getOrDefault(model, List.of()).stream()
                .filter(version -> now - version.sinceNanos() >= age.toNanos() || isOld(version))
                .mapToLong(version -> version.weights().version())
                .max();
    }

    /** A version that was there when this node started, and that most engines hold, was named long before. */
    private boolean isOld(NamedWeights version) {
        if (!version.atStart()) {
            return false;
        }
        List<Long> held = upstreams.values().stream()
                .flatMap(upstream -> upstream.weights().stream())
                .filter(weights -> weights.model().equals(version.weights().model()))
                .map(WeightsVersion::version)
                .toList();
        long holders = held.stream()
                .filter(number -> number >= version.weights().version())
                .count();
        return holders * 2 > held.size();
    }

    private void apply(FactItem item, Fact fact) {
        if (fact instanceof Fact.Configured configured) {
            configure(configured.catalog());
        } else if (fact instanceof Fact.Present present) {
            present(present.upstream());
        } else if (fact instanceof Fact.Absent absent) {
            absent(absent, item.revision());
        } else if (fact instanceof Fact.Named name) {
            name(name.weights(), item.revision());
        } else if (fact instanceof Fact.Unreadable unreadable) {
            log.event(Category.FAILURE, "item_unreadable")
                    .with("key", unreadable.key())
                    .with("revision", item.revision())
                    .with("detail", unreadable.detail())
                    .write();
        }
    }

    private void configure(Catalog offered) {
        long held = catalog.map(Catalog::version).orElse(-1L);
        boolean taken = offered.version() > held;
        if (taken) {
            catalog = Optional.of(offered);
        }
        log.event(Category.BELIEF, taken ? "configuration_taken" : "configuration_ignored")
                .with("version", offered.version())
                .with("held", held)
                .with("routes", offered.routes().routes().size())
                .with("organisations", offered.organisations().size())
                .write();
    }

    private void present(Upstream upstream) {
        Upstream before = upstreams.put(upstream.id(), upstream);
        lapsedUntilNanos.remove(upstream.id());
        if (before != null
                && before.isSameIncarnation(upstream)
                && before.leaving() == upstream.leaving()
                && before.weights().equals(upstream.weights())) {
            return;
        }
        log.event(Category.BELIEF, "upstream_present")
                .with("upstream", upstream.id())
                .with("service", upstream.service())
                .with("address", upstream.address().toString())
                .with("zone", upstream.zone())
                .with("leaving", upstream.leaving() ? "yes" : "no")
                .with(
                        "weights_version",
                        upstream.weights().map(WeightsVersion::version).orElse(0L))
                .with("born", upstream.bornMillis())
                .with("revision", upstream.revision())
                .write();
    }

    private void absent(Fact.Absent absent, long revision) {
        boolean known = upstreams.containsKey(absent.id());
        boolean kept = known && inGrace && !upstreams.get(absent.id()).leaving();
        if (kept) {
            lapsedUntilNanos.put(absent.id(), graceUntilNanos);
        } else {
            upstreams.remove(absent.id());
        }
        log.event(Category.BELIEF, kept ? "upstream_lapsed" : "upstream_absent")
                .with("upstream", absent.id())
                .with("known", known ? "yes" : "no")
                .with("revision", revision)
                .with("detail", absent.detail())
                .write();
    }

    private void endGrace() {
        if (timers.nanoTime() - graceUntilNanos < 0) {
            return;
        }
        inGrace = false;
        if (lapsedUntilNanos.isEmpty()) {
            return;
        }
        lapsedUntilNanos.keySet().forEach(id -> {
            upstreams.remove(id);
            log.event(Category.BELIEF, "upstream_absent")
                    .with("upstream", id)
                    .with("detail", "did not come back after the store did")
                    .write();
        });
        lapsedUntilNanos.clear();
        changed.run();
    }

    private void name(WeightsVersion weights, long revision) {
        long held = namedOf(weights.model())
                .map(newest -> newest.weights().version())
                .orElse(0L);
        boolean taken = weights.version() > held;
        if (taken) {
            List<NamedWeights> versions = new ArrayList<>(named.getOrDefault(weights.model(), List.of()));
            versions.add(new NamedWeights(weights, heardNanos, !begun));
            int first = Math.max(0, versions.size() - VERSIONS_REMEMBERED);
            named.put(weights.model(), List.copyOf(versions.subList(first, versions.size())));
        }
        log.event(Category.BELIEF, taken ? "version_named" : "version_ignored")
                .with("model", weights.model())
                .with("version", weights.version())
                .with("held", held)
                .with("revision", revision)
                .write();
    }

    /**
     * A version that upstreams are to hold.
     *
     * @param weights the model and its version
     * @param sinceNanos when this node heard of it
     * @param atStart whether it was among the first that this node heard, so that it may have been named long before
     */
    public record NamedWeights(WeightsVersion weights, long sinceNanos, boolean atStart) {
        /** Checks the parts. */
        public NamedWeights {
            Objects.requireNonNull(weights, "weights");
        }
    }
}
