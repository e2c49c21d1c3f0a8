package org.galenahinge.standins;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.pekko.actor.typed.ActorSystem;

/** Runs one stand-in in its own process until the process is killed. */
public final class StandInMain {
    private StandInMain() {}

    /**
     * Runs a stand-in; does not return.
     *
     * @param arguments the kind of the stand-in, then its flags; {@code --help} lists them
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        Namespace flags = parser().parseArgsOrFail(arguments);
        HttpStandIn.start(
                flags.getString("kind"), flags.getString("address"), flags.getInt("port"), handlerFactory(flags));
        new CountDownLatch(1).await();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("stand-in").build();
        Subparsers kinds = parser.addSubparsers().dest("kind");
        Subparser configuration = addKind(kinds, "configuration");
        configuration.addArgument("--reads-per-second").type(Integer.class).setDefault(2_000);
        Subparser vmList = addKind(kinds, "vm-list");
        vmList.addArgument("--lag-millis").type(Long.class).setDefault(1_000L);
        Subparser weights = addKind(kinds, "weights");
        weights.addArgument("--chunks").type(Integer.class).setDefault(40);
        weights.addArgument("--chunk-bytes").type(Integer.class).setDefault(262_144);
        weights.addArgument("--rate").type(Long.class).setDefault(100_000_000L);
        weights.addArgument("--corrupt-every").type(Integer.class).setDefault(0);
        weights.addArgument("--artifacts").setDefault("models/inlay/1,models/inlay/2");
        Subparser engine = addKind(kinds, "engine");
        engine.addArgument("--capacity").type(Integer.class).setDefault(16);
        engine.addArgument("--step-micros").type(Integer.class).setDefault(8_000);
        engine.addArgument("--step-micros-per-request").type(Integer.class).setDefault(200);
        engine.addArgument("--prompt-tokens-per-step").type(Integer.class).setDefault(256);
        engine.addArgument("--cache-tokens").type(Integer.class).setDefault(65_536);
        engine.addArgument("--load-millis").type(Integer.class).setDefault(500);
        engine.addArgument("--fencing").type(Boolean.class).setDefault(true);
        Subparser service = addKind(kinds, "service");
        service.addArgument("--work-millis").type(Long.class).setDefault(5L);
        return parser;
    }

    private static Subparser addKind(Subparsers kinds, String name) {
        Subparser parser = kinds.addParser(name);
        parser.addArgument("--address").setDefault("127.0.0.1");
        parser.addArgument("--port").type(Integer.class).required(true);
        return parser;
    }

    private static Function<ActorSystem<?>, HttpStandIn.Handler> handlerFactory(Namespace flags) {
        return switch (flags.getString("kind")) {
            case "configuration" -> system -> new ConfigurationStandIn(system, flags.getInt("reads_per_second"));
            case "vm-list" -> system -> new VmListStandIn(system, flags.getLong("lag_millis"));
            case "weights" -> system -> new WeightsStandIn(system, weightsParameters(flags), artifacts(flags));
            case "engine" -> system -> new EngineStandIn(system, engineParameters(flags));
            default -> system -> new ServiceStandIn(system, flags.getLong("work_millis"));
        };
    }

    private static List<String> artifacts(Namespace flags) {
        return List.of(flags.getString("artifacts").split(",", -1));
    }

    private static WeightsStandIn.Parameters weightsParameters(Namespace flags) {
        return new WeightsStandIn.Parameters(
                flags.getInt("chunks"),
                flags.getInt("chunk_bytes"),
                flags.getLong("rate"),
                flags.getInt("corrupt_every"));
    }

    private static EngineStandIn.Parameters engineParameters(Namespace flags) {
        return new EngineStandIn.Parameters(
                flags.getInt("capacity"),
                flags.getInt("step_micros"),
                flags.getInt("step_micros_per_request"),
                flags.getInt("prompt_tokens_per_step"),
                flags.getInt("cache_tokens"),
                flags.getInt("load_millis"),
                flags.getBoolean("fencing"));
    }
}
