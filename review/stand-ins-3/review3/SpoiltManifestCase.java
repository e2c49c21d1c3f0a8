package review3;

import java.io.IOException;
import java.util.List;

/** The origin hands out the digests of a new version once with a part that is spoilt. */
final class SpoiltManifestCase {
    private static final long LOAD_SECONDS = 15;
    private static final long LATER_MILLIS = 10_000;

    private SpoiltManifestCase() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, SpoiltManifestCase::perform);
    }

    private static boolean perform(CaseRun run) throws Exception {
        int port = Machine.freePorts("127.0.0.2", "127.0.0.3", "127.0.0.4");
        Machine entry = new Machine("edge-bagmati-a-1", "127.0.0.2", "bagmati-a", port);
        Machine side = new Machine("side-bagmati-a-1", "127.0.0.4", "bagmati-a", port);
        Store store = run.closing(new Store("127.0.0.3", port));
        Origin origin = run.closing(new Origin("127.0.0.3", port + 1, run.recordFile()));
        EngineServer engine =
                run.closing(new EngineServer("i-7f3a91c2", side.host(), side.consumerPort(), run.recordFile()));
        String tenants = "[" + Deployment.tenant("bozi300", Requests.KEY) + "]";
        store.put("op/config", Deployment.config(7, tenants, origin.address()));
        store.put("servers/i-7f3a91c2", engine.entry());
        Deployment deployment = new Deployment(store, List.of(entry));
        run.startEntry(deployment, entry);
        run.startSlot(deployment, side, engine.address());
        run.awaitReady(entry);
        Thread.sleep(2_000);
        Requests.requireServed(Requests.draft(entry, "before"));
        if (run.hasTrouble()) {
            origin.spoilNextManifest();
        }
        store.declareVersion(run, 2);
        streamUntilLoaded(run, entry, engine);
        if (engine.version() < 2) {
            throw new IllegalStateException("the server has not loaded version 2 after " + LOAD_SECONDS + " s");
        }
        Thread.sleep(LATER_MILLIS);
        run.record("consumer sent later: " + Requests.draft(entry, "later"));
        run.keepLog(entry);
        run.keepLog(side);
        run.record("WHOLE " + (engine.brokenTokens().isEmpty() ? "held" : "broken"));
        return engine.brokenTokens().isEmpty();
    }

    private static void streamUntilLoaded(CaseRun run, Machine entry, EngineServer engine) throws Exception {
        long endNanos = System.nanoTime() + LOAD_SECONDS * 1_000_000_000L;
        int number = 0;
        while (engine.version() < 2 && System.nanoTime() - endNanos < 0) {
            String id = "draft-" + ++number;
            run.record("consumer sent " + id + ": " + Requests.draft(entry, id));
            Thread.sleep(50);
        }
        run.record("the server has version " + engine.version());
    }
}
