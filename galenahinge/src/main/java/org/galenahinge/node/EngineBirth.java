package org.galenahinge.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.upstream.NewUpstream;

/**
 * Notices that the engine on the own VM has just started, and probes it for its name, so that entries need not wait until its
 * entry stands in the store. Belongs to one thread.
 *
 * <p>An engine that was there before this process is none that has just started, whatever the clock says: it may be one
 * that has left the store.
 */
final class EngineBirth {
    /** How long an entry in the store may take to appear after a start. */
    private static final Duration NEW_FOR = Duration.ofSeconds(4);

    /** Probes are priced; an engine that does not say its name soon is waited for in the store. */
    private static final int MOST_PROBES = 3;

    /** How far the engine's start may lie from now by the VM's clock. */
    private static final Duration MOST_AGE = Duration.ofSeconds(5);

    private final EngineControl engine;
    private final String service;
    private final String zone;
    private final Timers timers;
    private final InstantSource clock;
    private final EventLog log;
    private OptionalLong bornMillis = OptionalLong.empty();
    private long firstSeenNanos;
    private boolean young;
    private boolean asking;
    private int probes;
    private Optional<String> healthPath = Optional.empty();
    private Optional<String> name = Optional.empty();

    EngineBirth(EngineControl engine, String service, String zone, Timers timers, InstantSource clock, EventLog log) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.service = Objects.requireNonNull(service, "service");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Takes in where the engine answers probes. */
    void probeAt(String path) {
        healthPath = Optional.of(path);
    }

    /** Takes in the engine's state. */
    void reported(EngineReport report) {
        if (bornMillis.isEmpty() || bornMillis.getAsLong() != report.bornMillis()) {
            bornMillis = OptionalLong.of(report.bornMillis());
            firstSeenNanos = timers.nanoTime();
            long ageMillis = clock.millis() - report.bornMillis();
            young = report.bornMillis() != 0 && Math.abs(ageMillis) < MOST_AGE.toMillis();
            name = Optional.empty();
            probes = 0;
        }
        boolean wanted = isNew() && name.isEmpty() && !asking && probes < MOST_PROBES;
        if (wanted && healthPath.isPresent()) {
            ask(healthPath.get(), report.bornMillis());
        }
    }

    /** Who the engine is, while it has just started and its name is known. */
    Optional<NewUpstream> newUpstream() {
        return isNew() ? name.map(known -> new NewUpstream(known, service, zone)) : Optional.empty();
    }

    private boolean isNew() {
        return young && timers.nanoTime() - firstSeenNanos < NEW_FOR.toNanos();
    }

    private void ask(String path, long askedOf) {
        asking = true;
        probes++;
        engine.name(path).whenComplete((answer, error) -> {
            asking = false;
            if (error != null) {
                log.event(Category.FAILURE, "engine_name_missed")
                        .with("detail", String.valueOf(error.getMessage()))
                        .write();
                return;
            }
            if (bornMillis.getAsLong() == askedOf) {
                name = answer.filter(text -> !text.isEmpty());
                log.event(Category.BELIEF, "engine_named")
                        .with("upstream", name.orElse("unknown"))
                        .with("born", askedOf)
                        .write();
            }
        });
    }
}
