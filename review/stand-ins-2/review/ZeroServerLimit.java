package review;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** All servers of a service name a limit of 0 requests a second for some seconds, and then no limit any more. */
final class ZeroServerLimit extends LaterRouteCase {
    private static final long IN_NEED_MILLIS = 4_000;

    private volatile boolean inNeed;

    @Override
    void disrupt(List<ServerStandIn> servers, Deployment deployment, CaseRecord record) throws Exception {
        inNeed = true;
        record.show("all " + servers.size() + " servers name Server-Limit: 0 in their answers");
        TimeUnit.MILLISECONDS.sleep(IN_NEED_MILLIS);
        inNeed = false;
        record.show("no server names a limit any more");
    }

    @Override
    void prepare(ServerAnswer answer) {
        if (inNeed) {
            answer.addHeader("Server-Limit: 0");
        }
    }
}
