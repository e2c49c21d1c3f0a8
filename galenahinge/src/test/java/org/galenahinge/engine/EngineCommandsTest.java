package org.galenahinge.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.galenahinge.engine.EngineCommands.Action;
import org.galenahinge.engine.EngineCommands.Desired;
import org.galenahinge.engine.EngineCommands.Inputs;
import org.junit.jupiter.api.Test;

class EngineCommandsTest {
    private static final Desired NEW_WEIGHTS = new Desired(7, "m/2", "f2", "both");

    @Test
    void servesTheDesiredWeights() {
        assertThat(decide(true, true, engine("m/2", "f2", 7, 3), 1)).isEqualTo(new Action.Serve("m/2", "f2"));
    }

    @Test
    void servesOldWeightsUntilTheNewOnesAreCompleteAndItMayReload() {
        assertThat(decide(false, true, engine("m/1", "f1", 6, 0), 0)).isEqualTo(new Action.Serve("m/1", "f1"));
        assertThat(decide(true, false, engine("m/1", "f1", 6, 0), 0)).isEqualTo(new Action.Serve("m/1", "f1"));
    }

    @Test
    void waitsForRunningRequestsBeforeItLoads() {
        assertThat(decide(true, true, engine("m/1", "f1", 6, 0), 2)).isInstanceOf(Action.Close.class);
        assertThat(decide(true, true, engine("m/1", "f1", 6, 1), 0)).isInstanceOf(Action.Close.class);
        assertThat(decide(true, true, engine("m/1", "f1", 6, 0), 0)).isInstanceOf(Action.Load.class);
    }

    @Test
    void loadsAnEmptyEngineWithoutWaitingForItsSchedule() {
        assertThat(decide(true, false, engine("", "", 0, 0), 0)).isInstanceOf(Action.Load.class);
        assertThat(decide(false, true, engine("", "", 0, 0), 0)).isInstanceOf(Action.Close.class);
    }

    @Test
    void closesAnEngineWithoutReadableStateOrWithALaterLoadCommand() {
        assertThat(EngineCommands.decide(new Inputs(Optional.of(NEW_WEIGHTS), true, true, Optional.empty(), 0)))
                .isInstanceOf(Action.Close.class);
        assertThat(decide(true, true, engine("m/3", "f3", 8, 0), 0)).isInstanceOf(Action.Close.class);
    }

    @Test
    void reloadsWhenTheKeyMatchesButTheFingerprintDiffers() {
        assertThat(decide(true, true, engine("m/2", "other", 7, 0), 0)).isInstanceOf(Action.Load.class);
    }

    private static Action decide(boolean weightsComplete, boolean mayReload, EngineState engine, int requestsInFlight) {
        return EngineCommands.decide(new Inputs(
                Optional.of(NEW_WEIGHTS), weightsComplete, mayReload, Optional.of(engine), requestsInFlight));
    }

    private static EngineState engine(String key, String fingerprint, long fencingNumber, int running) {
        return new EngineState(key, fingerprint, false, "both", fencingNumber, running, 8);
    }
}
