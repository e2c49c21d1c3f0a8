package review;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * All servers of a model service crash at once and are back some seconds later. All drafts share the first part of their
 * prompts, and none of them is the cause.
 */
final class SharedPromptAfterCrash extends LaterRouteCase {
    private static final long DOWN_MILLIS = 4_500;

    @Override
    void disrupt(List<ServerStandIn> servers, Deployment deployment, CaseRecord record) throws Exception {
        servers.parallelStream().forEach(ServerStandIn::crash);
        record.show("all " + servers.size() + " model servers crashed");
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
        for (ServerStandIn server : servers) {
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
        }
        record.show("all model servers are back and registered");
    }
}
