package org.galenahinge.facts;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.concurrent.SuspensionWatch;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.upstream.LeavingUpstreams;
import org.galenahinge.upstream.LeavingUpstreams.Addition;
import org.galenahinge.upstream.LeavingUpstreams.AgedIncarnation;
import org.galenahinge.upstream.LeavingUpstreams.Source;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.VersionAges;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;

/**
 * This node's view of the fleet: the configuration, the upstreams and the named versions of weights. Belongs to one
 * thread.
 *
 * <p>The versions of the configuration and of the weights never decrease. An upstream record that expires right after
 * an outage of the store is kept for {@link #EXPIRED_RECORD_GRACE}, since an upstream that still runs writes it again.
 */
public final class FleetFacts {
    /** How long after the store has recovered an expired or lost upstream record may still be written again. */
    public static final Duration EXPIRED_RECORD_GRACE = Duration.ofSeconds(2);

    /** How long ages count a time in which the VM may have been suspended: others have told them by then. */
    private static final Duration SUSPENSION_RETENTION = Duration.ofSeconds(1);

    private static final Duration LOGGED_CORRECTION = Duration.ofMillis(250);

    private final FactDecoder decoder;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, Upstream> upstreams = new TreeMap<>();
    private final LeavingUpstreams leaving = LeavingUpstreams.create(this::incarnations);
    private final Map<Source, Long> leavingCounts = new EnumMap<>(Source.class);
    private final Map<String, Long> expiredInGrace = new HashMap<>();
    private final NamedVersions namedVersions = new NamedVersions();
    private final EvacuatedDomains evacuatedDomains;
    private final SuspensionWatch suspension;
    private Optional<Catalog> catalog = Optional.empty();
    private Runnable changed = () -> {};
    private Supplier<Optional<Duration>> confirmedAge = Optional::empty;
    private long graceUntilNanos;
    private boolean inGrace;
    private boolean itemsReceived;

    private FleetFacts(FactDecoder decoder, Timers timers, EventLog log) {
        this.decoder = decoder;
        this.timers = timers;
        this.log = log;
        this.evacuatedDomains = EvacuatedDomains.create(log);
        this.suspension = SuspensionWatch.create(timers, SUSPENSION_RETENTION);
    }

    /**
     * Creates an empty view.
     *
     * @param decoder decodes items
     * @param timers the clock
     * @param log where changes are logged
     * @return the view
     */
    public static FleetFacts create(FactDecoder decoder, Timers timers, EventLog log) {
        return new FleetFacts(
                Objects.requireNonNull(decoder, "decoder"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"));
    }

    /**
     * Sets the listener that runs after each change.
     *
     * @param listener the listener
     */
    public void onChange(Runnable listener) {
        changed = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Sets what tells how old the facts may be.
     *
     * @param age returns the time since they were known to be the newest, empty if that is not known
     */
    public void confirmedBy(Supplier<Optional<Duration>> age) {
        confirmedAge = Objects.requireNonNull(age, "age");
    }

    /**
     * Returns how old the facts may be.
     *
     * @return the time since they were known to be the newest, empty if that is not known
     */
    public Optional<Duration> confirmedAge() {
        return confirmedAge.get();
    }

    /**
     * Applies items that were received promptly after their publication.
     *
     * @param items the items that are new to this node, ordered by revision
     */
    public void apply(List<FactItem> items) {
        apply(items, Duration.ZERO);
    }

    /**
     * Applies items.
     *
     * @param items the items that are new to this node, ordered by revision
     * @param maximumAge the maximum time since their publication, {@link FactSynchronizer#AGE_UNKNOWN} if it is not known
     */
    public void apply(List<FactItem> items, Duration maximumAge) {
        suspension.observe();
        for (FactItem item : items) {
            apply(item, decode(item), itemsReceived ? maximumAge : FactSynchronizer.AGE_UNKNOWN);
        }
        if (!items.isEmpty()) {
            itemsReceived = true;
            changed.run();
        }
    }

    /**
     * Starts the grace period for expired and lost upstream records. Call it when the store can be read again after an
     * outage, or has been restored from an older copy.
     */
    public void storeRecovered() {
        inGrace = true;
        graceUntilNanos = timers.nanoTime() + EXPIRED_RECORD_GRACE.toNanos();
        timers.schedule(EXPIRED_RECORD_GRACE, this::endGrace);
    }

    /**
     * Returns the configuration.
     *
     * @return the newest version, or empty before the first
     */
    public Optional<Catalog> catalog() {
        return catalog;
    }

    /**
     * Records that an upstream said in a response that it leaves. Its record says so from now on, whatever the store holds.
     *
     * @param told its incarnation, whose record may not be known yet, and how long ago it said so
     * @param source who told it
     */
    public void recordLeaving(AgedIncarnation told, Source source) {
        Addition addition = leaving.add(told, timers.nanoTime());
        if (addition == Addition.ADDED) {
            markLeaving(told, source);
        } else if (addition == Addition.FULL) {
            log.event(Category.FAILURE, "upstream_leaving_dropped")
                    .with("incarnation", Long.toHexString(told.incarnation()))
                    .with("held", leaving.size())
                    .write();
        }
    }

    /**
     * Returns the upstreams that said in a response that they leave.
     *
     * @return the set, which only {@link #recordLeaving} may change
     */
    public LeavingUpstreams leavingUpstreams() {
        return leaving;
    }

    /**
     * Returns how many times this node learnt that an upstream leaves.
     *
     * @param source how it learnt that
     * @return the number of incarnations since the start
     */
    public long leavingCount(Source source) {
        return leavingCounts.getOrDefault(source, 0L);
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
     * Returns the failure domains that the operators evacuate.
     *
     * @return a view, which only items change
     */
    public EvacuatedDomains evacuatedDomains() {
        return evacuatedDomains;
    }

    /**
     * Finds an upstream.
     *
     * @param id its id
     * @return the upstream, or empty if it has no upstream record
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Finds the version of a model that upstreams must load.
     *
     * @param model the model's name
     * @return the newest named version, or empty if none was named
     */
    public Optional<WeightsVersion> newestNamed(String model) {
        return namedVersions.newest(model);
    }

    /**
     * Returns the latest named versions of a model, those included that were replaced before this node read them and of which
     * others have told the age.
     *
     * @param model the model's name
     * @return the versions, oldest first, up to the newest that this node has read
     */
    public List<NamedVersion> recentlyNamed(String model) {
        return namedVersions.recent(model, timers.nanoTime());
    }

    /**
     * Finds the newest version of a model that was named at least a given time ago, or may have been, also if the VM was
     * suspended a moment ago.
     *
     * @param model the model's name
     * @param age the minimum time since it was named
     * @return the version number, or empty if there is none
     */
    public OptionalLong newestNamedBefore(String model, Duration age) {
        suspension.observe();
        return namedVersions.newestNamedBefore(model, age, suspension::longestAge, timers.nanoTime());
    }

    /**
     * Finds the newest version of a model that was named at least a given time ago. One that only may have been counts after
     * a moment in which other nodes can tell its age.
     *
     * @param model the model's name
     * @param age the minimum time since it was named
     * @return the version number, or empty if there is none
     */
    public OptionalLong newestSurelyNamedBefore(String model, Duration age) {
        return namedVersions.newestSurelyNamedBefore(model, age, timers.nanoTime());
    }

    /**
     * Returns the ages of versions that are known, by what this node has witnessed and was told.
     *
     * @return the ages
     */
    public VersionAges versionAges() {
        return namedVersions.ages();
    }

    /**
     * Adds the age of a version that another node has told. That may happen before this node has read that the version was
     * named.
     *
     * @param told the version and its age
     */
    public void versionAgeTold(AgedVersion told) {
        suspension.observe();
        long now = timers.nanoTime();
        Optional<Duration> before = versionAges().age(told.weights(), now);
        versionAges().add(told, now);
        boolean agrees = before.filter(known -> told.age().minus(known).compareTo(LOGGED_CORRECTION) < 0)
                .isPresent();
        if (agrees) {
            return;
        }
        log.event(Category.BELIEF, "version_age_told")
                .with("model", told.weights().model())
                .with("version", told.weights().version())
                .with("age_ms", told.age().toMillis())
                .with("before_ms", before.map(Duration::toMillis).orElse(-1L))
                .write();
    }

    /** Decodes an item; one on which the decoder fails must not keep the items after it from being applied. */
    private Fact decode(FactItem item) {
        try {
            return decoder.decode(item);
        } catch (RuntimeException e) {
            return new Fact.Unreadable(item.key(), "the decoder failed: " + e);
        }
    }

    private void apply(FactItem item, Fact fact, Duration maximumAge) {
        if (fact instanceof Fact.ConfigurationPublished published) {
            applyConfiguration(published.catalog());
        } else if (fact instanceof Fact.UpstreamPresent present) {
            applyPresent(present.upstream());
        } else if (fact instanceof Fact.UpstreamAbsent absent) {
            applyAbsent(absent, item.revision());
        } else if (fact instanceof Fact.VersionNamed version) {
            applyNamedVersion(version.weights(), item.revision(), maximumAge);
        } else if (fact instanceof Fact.EvacuationBegun evacuation) {
            evacuatedDomains.begin(evacuation.zone(), item.revision());
        } else if (fact instanceof Fact.EvacuationEnded evacuation) {
            evacuatedDomains.end(evacuation.zone(), item.revision());
        } else if (fact instanceof Fact.Unreadable unreadable) {
            log.event(Category.FAILURE, "item_unreadable")
                    .with("key", unreadable.key())
                    .with("revision", item.revision())
                    .with("detail", unreadable.detail())
                    .write();
        }
    }

    private void applyConfiguration(Catalog published) {
        long held = catalog.map(Catalog::version).orElse(-1L);
        boolean newer = published.version() > held;
        if (newer) {
            catalog = Optional.of(published);
        }
        log.event(Category.BELIEF, newer ? "configuration_taken" : "configuration_ignored")
                .with("version", published.version())
                .with("held", held)
                .with("routes", published.routes().routes().size())
                .with("api_keys_required", Boolean.toString(published.apiKeys().areRequired()))
                .with("api_keys", published.apiKeys().size())
                .write();
    }

    private void markLeaving(AgedIncarnation told, Source source) {
        List<Upstream> records = upstreams.values().stream()
                .filter(upstream -> upstream.incarnationKey() == told.incarnation())
                .toList();
        String id = records.isEmpty() ? "" : records.get(0).id();
        countLeaving(id, told.incarnation(), source, told.age());
        if (records.stream().allMatch(Upstream::leaving)) {
            return;
        }
        records.forEach(upstream -> upstreams.put(upstream.id(), upstream.asLeaving()));
        changed.run();
    }

    private void countLeaving(String id, long incarnation, Source source, Duration age) {
        leavingCounts.merge(source, 1L, Long::sum);
        log.event(Category.BELIEF, "upstream_leaving")
                .with("upstream", id)
                .with("incarnation", Long.toHexString(incarnation))
                .with("source", source.name().toLowerCase(Locale.ROOT))
                .with("age_ms", age.toMillis())
                .write();
    }

    private Set<Long> incarnations() {
        return upstreams.values().stream().map(Upstream::incarnationKey).collect(Collectors.toSet());
    }

    private void applyPresent(Upstream published) {
        boolean saidSo = leaving.contains(published.incarnationKey());
        Upstream upstream = saidSo ? published.asLeaving() : published;
        Upstream before = upstreams.put(upstream.id(), upstream);
        expiredInGrace.remove(upstream.id());
        boolean known = before != null && before.isSameIncarnation(upstream);
        if (published.leaving() && !(known && before.leaving())) {
            countLeaving(upstream.id(), upstream.incarnationKey(), Source.RECORD, Duration.ZERO);
        }
        if (known && before.leaving() == upstream.leaving() && before.weights().equals(upstream.weights())) {
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

    private void applyAbsent(Fact.UpstreamAbsent absent, long revision) {
        boolean known = upstreams.containsKey(absent.id());
        boolean inGracePeriod = known && inGrace && !upstreams.get(absent.id()).leaving();
        if (inGracePeriod) {
            expiredInGrace.put(absent.id(), graceUntilNanos);
        } else {
            upstreams.remove(absent.id());
        }
        log.event(Category.BELIEF, inGracePeriod ? "upstream_lapsed" : "upstream_absent")
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
        if (expiredInGrace.isEmpty()) {
            return;
        }
        expiredInGrace.keySet().forEach(id -> {
            upstreams.remove(id);
            log.event(Category.BELIEF, "upstream_absent")
                    .with("upstream", id)
                    .with("detail", "its record was not written again after the store recovered")
                    .write();
        });
        expiredInGrace.clear();
        changed.run();
    }

    private void applyNamedVersion(WeightsVersion weights, long revision, Duration maximumAge) {
        long held = newestNamed(weights.model()).map(WeightsVersion::version).orElse(0L);
        boolean newer = namedVersions.add(weights, maximumAge, timers.nanoTime());
        log.event(Category.BELIEF, newer ? "version_named" : "version_ignored")
                .with("model", weights.model())
                .with("version", weights.version())
                .with("held", held)
                .with("revision", revision)
                .with("maximum_age_ms", maximumAge.toMillis())
                .write();
    }
}
