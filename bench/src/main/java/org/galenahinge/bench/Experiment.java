package org.galenahinge.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * One experiment.
 *
 * @param name its name on the command line
 * @param description what it does and what it must reach
 * @param seconds about how long it takes, in seconds
 * @param quickSeconds about how long it takes with {@code --quick}, in seconds
 * @param runner runs it
 */
public record Experiment(String name, String description, int seconds, int quickSeconds, Runner runner) {
    /** Checks the parts. */
    public Experiment {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(description, "description");
        Objects.requireNonNull(runner, "runner");
    }

    /** Runs an experiment. */
    @FunctionalInterface
    public interface Runner {
        /**
         * Runs it.
         *
         * @param settings how
         * @return what it measured
         */
        Result run(Settings settings);
    }

    /**
     * How an experiment is run.
     *
     * @param home the folder of the checkout
     * @param logs the folder for log files of processes
     * @param seed the seed of all that is random
     * @param quick whether to run the short form
     * @param vms the number of VMs, 0 for the experiment's own sizes
     * @param profile whose fleet
     * @param entryFlags further flags of the entries
     */
    public record Settings(
            Path home, Path logs, long seed, boolean quick, int vms, Profile profile, List<String> entryFlags) {
        /** Copies the flags. */
        public Settings {
            entryFlags = List.copyOf(entryFlags);
        }

        Settings withEntryFlags(List<String> flags) {
            return new Settings(home, logs, seed, quick, vms, profile, flags);
        }
    }
}
