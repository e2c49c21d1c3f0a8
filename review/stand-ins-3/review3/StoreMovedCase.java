package review3;

import java.io.IOException;
import java.util.List;

/** The settings file names another address of the store; what the operator writes there must come into force. */
final class StoreMovedCase {
    private static final String FIRST_KEY = Requests.KEY;
    private static final String SECOND_KEY = "bvk9m68k7b2ex5wa5xwy";
    private static final long OVERLAP_MILLIS = 6_000;
    private static final int REQUESTS = 5;

    private StoreMovedCase() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, StoreMovedCase::perform);
    }

    private static boolean perform(CaseRun run) throws Exception {
        int port = Machine.freePorts("127.0.0.2", "127.0.0.3", "127.0.0.4");
        Machine machine = new Machine("edge-bagmati-a-1", "127.0.0.2", "bagmati-a", port);
        Store oldStore = run.closing(new Store("127.0.0.3", port));
        Store newStore = run.closing(new Store("127.0.0.4", port));
        OrderServer server =
                run.closing(new OrderServer("i-7f3a91c2", "127.0.0.3", port + 1, 20, run.recordFile()));
        String entryOfServer = Deployment.server(server.address(), 6, System.currentTimeMillis());
        for (Store store : List.of(oldStore, newStore)) {
            publish(run, store, 7, FIRST_KEY);
            store.put("servers/i-7f3a91c2", entryOfServer);
        }
        Program entry = run.startEntry(new Deployment(oldStore, List.of(machine)), machine);
        run.awaitReady(machine);
        Requests.requireServed(order(run, machine, FIRST_KEY, "before"));
        Store current = run.hasTrouble() ? newStore : oldStore;
        entry.changeSettings(new Deployment(current, List.of(machine)).entrySettings(machine));
        run.record("the settings file names the store at " + current.address() + ", and the process gets SIGHUP");
        Thread.sleep(OVERLAP_MILLIS);
        if (run.hasTrouble()) {
            oldStore.close();
            run.record("the store at " + oldStore.address() + " is switched off");
        }
        publish(run, current, 9, SECOND_KEY);
        Thread.sleep(Deployment.CONFIG_APPLY_MILLIS + 1_000);
        for (int number = 1; number <= REQUESTS; number++) {
            order(run, machine, FIRST_KEY, "after-dropped-key-" + number);
            order(run, machine, SECOND_KEY, "after-new-key-" + number);
        }
        run.keepLog(machine);
        return judge(run, server);
    }

    private static void publish(CaseRun run, Store store, long version, String key) {
        String tenants = "[" + Deployment.tenant("bozi300", key) + "]";
        store.put("op/config", Deployment.config(version, tenants, "127.0.0.3:9"));
        run.record("the store at " + store.address() + " acknowledges config " + version + " with key " + key);
    }

    private static String order(CaseRun run, Machine machine, String key, String attemptId) throws IOException {
        try (Consumer consumer = new Consumer(machine.host(), machine.consumerPort())) {
            return Requests.order(run, consumer, key, attemptId);
        }
    }

    private static boolean judge(CaseRun run, OrderServer server) {
        long dropped = server.runs().stream()
                .filter(one -> one.attemptId().startsWith("after-dropped-key"))
                .count();
        run.record(dropped + " of " + REQUESTS + " requests with the dropped key were run: CONFIG "
                + (dropped == 0 ? "held" : "broken"));
        return dropped == 0;
    }
}
