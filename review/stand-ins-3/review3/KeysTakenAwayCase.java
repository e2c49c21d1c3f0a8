package review3;

import java.util.List;

/** The keys of both tenants are taken away; requests with them, and with a key that never was, must get 401. */
final class KeysTakenAwayCase {
    private static final String HELD_KEY = Requests.KEY;
    private static final String OTHER_HELD_KEY = "bvk9m68k7b2ex5wa5xwy";
    private static final int REVOKE_GAP_MILLIS = 1_500;
    private static final String FOREIGN_KEY = "q0zz7c1nv5m2kd8t4xha";
    private static final int REQUESTS = 5;

    private KeysTakenAwayCase() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, KeysTakenAwayCase::perform);
    }

    private static boolean perform(CaseRun run) throws Exception {
        int port = Machine.freePorts("127.0.0.2", "127.0.0.3");
        Machine machine = new Machine("edge-bagmati-a-1", "127.0.0.2", "bagmati-a", port);
        Store store = run.closing(new Store("127.0.0.3", port));
        OrderServer server =
                run.closing(new OrderServer("i-7f3a91c2", "127.0.0.3", port + 1, 20, run.recordFile()));
        publish(run, store, 7, HELD_KEY, OTHER_HELD_KEY);
        store.put("servers/i-7f3a91c2", Deployment.server(server.address(), 6, System.currentTimeMillis()));
        run.startEntry(new Deployment(store, List.of(machine)), machine);
        run.awaitReady(machine);
        try (Consumer held = new Consumer(machine.host(), machine.consumerPort());
                Consumer foreign = new Consumer(machine.host(), machine.consumerPort())) {
            Requests.requireServed(Requests.order(run, held, HELD_KEY, "before-held"));
            requireDenied(Requests.order(run, foreign, FOREIGN_KEY, "before-foreign"));
            publish(run, store, 9, HELD_KEY, run.hasTrouble() ? "" : OTHER_HELD_KEY);
            Thread.sleep(REVOKE_GAP_MILLIS);
            publish(run, store, 12, run.hasTrouble() ? "" : HELD_KEY, run.hasTrouble() ? "" : OTHER_HELD_KEY);
            Thread.sleep(Deployment.CONFIG_APPLY_MILLIS + 1_000);
            for (int number = 1; number <= REQUESTS; number++) {
                Requests.order(run, held, HELD_KEY, "after-held-" + number);
                Requests.order(run, foreign, FOREIGN_KEY, "after-foreign-" + number);
            }
        }
        return judge(run, server);
    }

    /** Publishes a config with two tenants; a tenant whose key is empty has none. */
    private static void publish(CaseRun run, Store store, long version, String key, String otherKey) {
        String tenants = "[" + Deployment.tenant("bozi300", key) + "," + Deployment.tenant("luda411", otherKey) + "]";
        store.put("op/config", Deployment.config(version, tenants, "127.0.0.3:9"));
        run.record("the operator's config " + version + " is acknowledged: tenants " + tenants);
    }

    private static void requireDenied(String outcome) {
        if (!outcome.equals("status 401")) {
            throw new IllegalStateException("a foreign key was not denied before the disruption: " + outcome);
        }
    }

    private static boolean judge(CaseRun run, OrderServer server) {
        long foreign = countRuns(server, "after-foreign");
        long held = countRuns(server, "after-held");
        run.record("run after the change: " + foreign + " of " + REQUESTS + " with a key that no config ever held, "
                + held + " of " + REQUESTS + " with the key of the first config");
        boolean routeHeld = foreign == 0;
        boolean configHeld = !run.hasTrouble() || held == 0;
        run.record("ROUTE " + (routeHeld ? "held" : "broken") + ", CONFIG " + (configHeld ? "held" : "broken"));
        return routeHeld && configHeld;
    }

    private static long countRuns(OrderServer server, String prefix) {
        return server.runs().stream().filter(one -> one.attemptId().startsWith(prefix)).count();
    }
}
