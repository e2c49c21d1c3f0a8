package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.galenahinge.standins.platform.StoreStandIn;

/** A model server: it stages pieces, loads what is staged when it is ordered to, and reports what it holds. */
public final class ModelServerStandIn {
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");
    private static final int LAYERS = 16;
    /** A piece that has turned bad within this time before the order does not count. */
    private static final Duration EXCUSED_AGE = Duration.ofSeconds(3);

    private final StoreStandIn store;
    private final CaseRecord record;
    private final ServerStandIn server;
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private volatile long version;
    private volatile int accepted;
    private volatile boolean loadedWhole = true;
    private volatile long spoiltNanos;
    private volatile Runnable onWholeReadBack = () -> {};
    private final Set<Integer> readBack = ConcurrentHashMap.newKeySet();

    ModelServerStandIn(
            String id, String ip, long version, StoreStandIn store, CaseRecord record, ServerStandIn.Work work)
            throws IOException {
        this.store = store;
        this.record = record;
        this.version = version;
        for (int number = 0; version > 0 && number < OriginStandIn.PIECES; number++) {
            staged.put(number, OriginStandIn.piece(version, number));
        }
        this.server = new ServerStandIn(id, "drafts", ip, record, work, new Control());
        store.put(server.key(), server.storeRecord());
    }

    public String address() {
        return server.address();
    }

    public ServerStandIn server() {
        return server;
    }

    public long version() {
        return version;
    }

    /** Tells whether the version that it holds was whole when it was loaded. */
    public boolean loadedWhole() {
        return loadedWhole;
    }

    /** Sets an action that runs once, when all staged pieces have been read back in one pass. */
    public void onWholeReadBack(Runnable action) {
        onWholeReadBack = action;
    }

    /** Turns a staged piece bad. */
    public void spoil(int number) {
        byte[] bad = staged.get(number).clone();
        bad[0] ^= 1;
        staged.put(number, bad);
        spoiltNanos = System.nanoTime();
    }

    private void readBack(int number) {
        readBack.add(number);
        if (readBack.size() == OriginStandIn.PIECES) {
            Runnable action = onWholeReadBack;
            onWholeReadBack = () -> {};
            action.run();
        }
    }

    private String weights() {
        if (version == 0) {
            return "\"models\":[],\"layers\":null";
        }
        return "\"models\":[{\"name\":\"" + OriginStandIn.MODEL + "\",\"version\":" + version
                + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":" + LAYERS + ",\"version\":" + version + "}";
    }

    private String report() {
        return "{\"stage\":\"both\"," + weights() + ",\"busy\":false,\"seq\":" + accepted
                + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":5072000,\"handles\":0,\"pace\":1.0,\"born\":"
                + server.born() + "}";
    }

    private void order(Message call, ServerStandIn.Answer answer) throws IOException {
        Matcher named = VERSION.matcher(call.text());
        if (!named.find()) {
            answer.whole(400, "");
            return;
        }
        version = Long.parseLong(named.group(1));
        accepted++;
        boolean whole = isStagedWhole();
        boolean excused = System.nanoTime() - spoiltNanos < EXCUSED_AGE.toNanos();
        loadedWhole = whole || excused;
        record.line("server " + server.key() + " loads version " + version + ", staged pieces are "
                + (whole ? "whole" : excused ? "not whole for less than 3 s" : "NOT WHOLE for more than 3 s"));
        store.put(server.key(), server.storeRecord());
        answer.whole(202, "");
    }

    private boolean isStagedWhole() {
        for (int number = 0; number < OriginStandIn.PIECES; number++) {
            byte[] piece = staged.get(number);
            if (piece == null || !Arrays.equals(piece, OriginStandIn.piece(version, number))) {
                return false;
            }
        }
        return true;
    }

    private final class Control implements ServerStandIn.Control {
        @Override
        public String recordFields() {
            return "," + weights() + ",\"seq\":" + accepted;
        }

        @Override
        public void answer(Message call, ServerStandIn.Answer answer) throws IOException {
            if (call.path().equals("/galenahinge/report")) {
                answer.whole(200, report());
            } else if (call.path().startsWith("/galenahinge/stage-put/")) {
                readBack.clear();
                staged.put((int) Query.number(call.path(), "num"), call.body());
                answer.whole(200, "");
            } else if (call.path().startsWith("/galenahinge/stage-get/")) {
                int number = (int) Query.number(call.path(), "num");
                byte[] piece = staged.get(number);
                answer.whole(
                        piece == null ? 404 : 200,
                        piece == null ? "" : new String(piece, StandardCharsets.ISO_8859_1));
                if (piece != null) {
                    readBack(number);
                }
            } else {
                order(call, answer);
            }
        }
    }
}
