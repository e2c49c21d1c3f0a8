package org.galenahinge.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs an experiment by its name. Exits with 0 when every bound is met, 1 when one is missed, 2 on an unknown name. */
public final class ExperimentMain {
    private static final int EXIT_BOUND_MISSED = 1;
    private static final int EXIT_UNKNOWN_EXPERIMENT = 2;
    private static final List<Experiment> EXPERIMENTS = List.of(
            OverheadExperiment.EXPERIMENT,
            CapacityExperiment.EXPERIMENT,
            OrdersExperiment.EXPERIMENT,
            OverloadExperiment.EXPERIMENT,
            RoutingExperiment.EXPERIMENT,
            SpreadExperiment.EXPERIMENT,
            MembershipExperiment.EXPERIMENT,
            FailoverExperiment.EXPERIMENT);

    private ExperimentMain() {}

    /**
     * Runs one experiment.
     *
     * @param arguments the name of the experiment and flags; {@code --help} lists them
     * @throws IOException when the results cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        System.exit(run(parser().parseArgsOrFail(arguments)));
    }

    private static int run(Namespace flags) throws IOException {
        if (flags.getBoolean("list")) {
            EXPERIMENTS.forEach(experiment -> System.out.printf(
                    "%-11s %4d s (quick %d s)  %s%n",
                    experiment.name(), experiment.seconds(), experiment.quickSeconds(), experiment.description()));
            return 0;
        }
        String name = flags.getString("name") == null ? "" : flags.getString("name");
        Optional<Experiment> found = EXPERIMENTS.stream()
                .filter(experiment -> experiment.name().equals(name))
                .findFirst();
        if (found.isEmpty()) {
            System.err.println("there is no experiment '" + name + "'; see bin/experiment --list");
            return EXIT_UNKNOWN_EXPERIMENT;
        }
        Path logs = Files.createTempDirectory("galenahinge-" + name);
        Experiment.Settings settings = new Experiment.Settings(
                Path.of(System.getProperty("galenahinge.home", ".")),
                logs,
                flags.getLong("seed"),
                flags.getBoolean("quick"),
                flags.getInt("vms"),
                Profile.of(flags.getString("profile")),
                List.of());
        System.out.println("seed " + settings.seed() + ", logs in " + logs);
        Result result = found.get().runner().run(settings);
        return result.write(name, Path.of(flags.getString("out"))) ? 0 : EXIT_BOUND_MISSED;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("bin/experiment")
                .build()
                .description("Runs the daemons under load and prints each figure with the bound that it must meet.");
        parser.addArgument("name").nargs("?").help("name of the experiment");
        parser.addArgument("--list").action(Arguments.storeTrue()).help("list the experiments");
        parser.addArgument("--quick").action(Arguments.storeTrue()).help("run the short form, under 50 seconds");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of every random choice; default 1");
        parser.addArgument("--vms")
                .type(Integer.class)
                .setDefault(0)
                .help("number of VMs, for experiments that allow it; default 0: the experiment's own sizes");
        parser.addArgument("--profile")
                .choices("khukuri", "blue-mahoe")
                .setDefault("khukuri")
                .help("the firm whose fleet is run; default khukuri");
        parser.addArgument("--out").setDefault("out").help("folder for the CSV file and the plot; default out");
        return parser;
    }
}
