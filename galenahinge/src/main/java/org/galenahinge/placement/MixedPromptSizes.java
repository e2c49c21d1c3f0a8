package org.galenahinge.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.Route;

/**
 * Treats long prompts beside short ones on the same engines by the time that an engine needs to read them. A short prompt may
 * wait longer for a slot than a long one, as its first event follows sooner after its placement; of the waiting
 * requests of equal priority, the one that must be placed first goes first; and placement expects unread prompts where
 * other nodes have requests. Immutable.
 */
public final class MixedPromptSizes implements PromptSizePolicy {
    /** Time for the network, the decode pass that an engine is in, and prompts that arrived just before. */
    private static final Duration TIME_BESIDES_PREFILL = Duration.ofMillis(100);

    /**
     * A request that waits is overtaken only by requests that arrive within this time after it, so that those of routes
     * with a distant target do not fill the queue.
     */
    private static final Duration MAXIMUM_OVERTAKING = Duration.ofMillis(350);

    private final EngineProfile engine;
    private final EngineModel model;
    private final double usualPrefillMillis;

    private MixedPromptSizes(EngineProfile engine, int usualPromptTokens) {
        this.engine = engine;
        this.model = EngineModel.of(engine);
        this.usualPrefillMillis = model.prefillMillis(usualPromptTokens);
    }

    /**
     * Selects the policy of a service. This method alone decides where sizes are regarded: at engines that publish the size of
     * their usual prompt, for services with streams of different targets.
     *
     * @param engine the published figures of the service's engines, empty for a plain service
     * @param routes the routes to the service
     * @return the policy
     */
    public static PromptSizePolicy select(Optional<EngineProfile> engine, Collection<Route> routes) {
        Objects.requireNonNull(routes, "routes");
        if (engine.isEmpty() || engine.get().usualPromptTokens().isEmpty()) {
            return NONE;
        }
        long targets = routes.stream()
                .filter(route -> route.kind().isStream())
                .map(Route::targetLatency)
                .distinct()
                .count();
        int usualPromptTokens = engine.get().usualPromptTokens().getAsInt();
        return targets > 1 ? new MixedPromptSizes(engine.get(), usualPromptTokens) : NONE;
    }

    /** The share of the others' requests that are unread is the time to read the usual prompt in that of a response. */
    @Override
    public double penaltyMillis(UpstreamLoad load, long nowNanos) {
        int others = load.totalInFlight(nowNanos) - load.ownInFlight();
        double passMillis = engine.decodeStepsPerPass() * engine.stepMillis();
        double residenceMillis = Math.max(1, load.residenceMillis());
        double unreadShare = Math.min(1, (usualPrefillMillis + passMillis) / residenceMillis);
        return others * unreadShare * usualPrefillMillis;
    }

    @Override
    public Duration slotWaitMargin(PromptShape prompt, Duration usual) {
        long prefillMillis = (long) model.prefillMillis(prompt.promptTokens());
        Duration needed = TIME_BESIDES_PREFILL.plusMillis(prefillMillis);
        return needed.compareTo(usual) < 0 ? needed : usual;
    }

    @Override
    public long queueOrderNanos(long arrivedNanos, long waitEndNanos) {
        return arrivedNanos + Math.max(0, Math.min(waitEndNanos - arrivedNanos, MAXIMUM_OVERTAKING.toNanos()));
    }
}
