package org.galenahinge.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.galenahinge.engine.EngineOrders.Facts;
import org.galenahinge.engine.EngineOrders.Step;
import org.galenahinge.engine.EngineOrders.Wanted;
import org.junit.jupiter.api.Test;

class EngineOrdersTest {
    private static final Wanted NEW = new Wanted(7, "m/2", "f2", "both");

    @Test
    void servesWeightsThatAreWanted() {
        assertThat(decide(true, true, engine("m/2", "f2", 7, 3), 1)).isEqualTo(new Step.Serve("m/2", "f2"));
    }

    @Test
    void goesOnServingOldWeightsUntilTheNewOnesAreCompleteAndItsTurnCame() {
        assertThat(decide(false, true, engine("m/1", "f1", 6, 0), 0)).isEqualTo(new Step.Serve("m/1", "f1"));
        assertThat(decide(true, false, engine("m/1", "f1", 6, 0), 0)).isEqualTo(new Step.Serve("m/1", "f1"));
    }

    @Test
    void finishesCallsBeforeItLoads() {
        assertThat(decide(true, true, engine("m/1", "f1", 6, 0), 2)).isInstanceOf(Step.Close.class);
        assertThat(decide(true, true, engine("m/1", "f1", 6, 1), 0)).isInstanceOf(Step.Close.class);
        assertThat(decide(true, true, engine("m/1", "f1", 6, 0), 0)).isInstanceOf(Step.Load.class);
    }

    @Test
    void loadsAnEmptyEngineWithoutWaitingForItsTurn() {
        assertThat(decide(true, false, engine("", "", 0, 0), 0)).isInstanceOf(Step.Load.class);
        assertThat(decide(false, true, engine("", "", 0, 0), 0)).isInstanceOf(Step.Close.class);
    }

    @Test
    void givesNoCallsToAnEngineItCannotReadOrThatTookALaterOrder() {
        assertThat(EngineOrders.decide(new Facts(Optional.of(NEW), true, true, Optional.empty(), 0)))
                .isInstanceOf(Step.Close.class);
        assertThat(decide(true, true, engine("m/3", "f3", 8, 0), 0)).isInstanceOf(Step.Close.class);
    }

    @Test
    void loadsAgainWhenTheEngineHoldsTheNameButOtherWeights() {
        assertThat(decide(true, true, engine("m/2", "other", 7, 0), 0)).isInstanceOf(Step.Load.class);
    }

    private static Step decide(boolean complete, boolean turn, EngineState engine, int calls) {
        return EngineOrders.decide(new Facts(Optional.of(NEW), complete, turn, Optional.of(engine), calls));
    }

    private static EngineState engine(String key, String fingerprint, long fencing, int running) {
        return new EngineState(key, fingerprint, false, "both", fencing, running, 8);
    }
}
