package org.galenahinge.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * An experiment: its description and the code that runs it.
 *
 * @param name its name on the command line
 * @param description what it does and the bounds that it must meet
 * @param seconds about how long it takes, in seconds
 * @param quickSeconds about how long it takes with {@code --quick}, in seconds
 * @param runner the code that runs it
 */
public record Experiment(String name, String description, int seconds, int quickSeconds, Runner runner) {
    /** Rejects null components. */
    public Experiment {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(description, "description");
        Objects.requireNonNull(runner, "runner");
    }

    /** Runs an experiment. */
    @FunctionalInterface
    public interface Runner {
        /**
         * Runs the experiment.
         *
         * @param settings the settings of the run
         * @return the measurements
         */
        Result run(Settings settings);
    }

    /**
     * The settings of one run of an experiment.
     *
     * @param home the root folder of the checkout
     * @param logs the folder for log files of processes
     * @param seed the seed of every random choice
     * @param quick whether to run the short form
     * @param vms the number of VMs, 0 for the experiment's own sizes
     * @param profile the firm whose fleet is run
     * @param entryFlags additional command-line flags of the entries
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
