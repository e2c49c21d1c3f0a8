package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Named.named;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how long a change takes to be in force at all entries, in a model of entries behind links of little bandwidth. */
class ConfigurationSpreadTest {
    private static final Duration APPLY_TIME = Duration.ofSeconds(3);
    private static final int MANY_ROUTES = 1_200;
    private static final int CHANGES_IN_SERIES = 12;
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(330);

    /** Returns what the entries go through when the configuration grows. */
    static Stream<Named<Consumer<FactFleetModel>>> troubles() {
        return Stream.of(
                named("none", model -> {}),
                named("weights are transferred", FactFleetModel::transferWeights),
                named("the watcher is cut off", FactFleetModel::cutWatcher),
                named("a relay is cut off", FactFleetModel::cutRelayOfLastRegion),
                named("the link of a relay narrows", FactFleetModel::narrowRelayOfLastRegion),
                named("the link of the watcher narrows", FactFleetModel::narrowWatcher),
                named("the region of the store is cut off", FactFleetModel::cutRegionOfStore),
                named("entries start", model -> model.start(5)),
                named("entries start while weights are transferred", model -> {
                    model.transferWeights();
                    model.start(5);
                }));
    }

    /**
     * Guards against entries that refuse a route seconds after it was confirmed, because a large configuration is sent whole to
     * each of them over a link that cannot carry it in the time after which a read begins anew.
     */
    @ParameterizedTest
    @MethodSource("troubles")
    void aLargeConfigurationIsInForceEverywhereInTime(Consumer<FactFleetModel> trouble) {
        FactFleetModel model = new FactFleetModel(1);
        model.start(14);
        model.advance(Duration.ofSeconds(10));
        model.addRoutes(MANY_ROUTES);
        model.publish();
        model.advance(Duration.ofMillis(50));
        trouble.accept(model);
        for (int change = 0; change < CHANGES_IN_SERIES; change++) {
            model.advance(CHANGE_INTERVAL);
            model.addRoutes(1);
            model.publish();
        }
        model.advance(Duration.ofSeconds(8));
        assertThat(model.lateEntries(APPLY_TIME)).isEmpty();
    }

    /** Guards against a large configuration that crosses the links between regions more often than once to each of them. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 40})
    void aLargeConfigurationCrossesToEachRegionOnceAndCompressed(int entriesOfRegion) {
        FactFleetModel model = new FactFleetModel(1);
        model.start(entriesOfRegion);
        model.advance(Duration.ofSeconds(10));
        model.addRoutes(MANY_ROUTES);
        long before = model.bytesBetweenRegions();
        long bytes = model.publish();
        model.advance(Duration.ofSeconds(5));
        assertThat(model.bytesBetweenRegions() - before).isLessThan(bytes / 2);
    }
}
