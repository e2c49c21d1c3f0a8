package org.galenahinge.standins.platform;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * An upstream with an engine that streams what the {@link WorkOrder} of each request asks, and reports every request that
 * reached it, with its first event and the version of the weights at that moment. Its VM can be suspended, it can queue
 * requests before it begins them, and it loads versions.
 */
public final class RecordingEngine implements AutoCloseable {
    private static final int CHECK_MILLIS = 10;

    /** The time after its VM resumes in which the engine gets no load command, so that it first begins what had arrived. */
    private static final int COMMAND_AFTER_RESUME_MILLIS = 150;

    private final String id;
    private final BiConsumer<String, UpstreamRun> runs;
    private final Consumer<RecordingEngine> loaded;
    private final UpstreamSocket socket;
    private final long incarnationMillis = System.currentTimeMillis();
    private final AtomicInteger working = new AtomicInteger();
    private int suspensions;
    private int running;
    private int waiting;
    private int loads;
    private long version = 1;
    private long wantedVersion = 1;
    private volatile int queueMillis;

    /**
     * What an engine tells of itself.
     *
     * @param port the port on which it listens
     * @param incarnationMillis the time of its start, in milliseconds since 1970
     * @param running the requests that it runs
     * @param waiting the requests that it has not begun
     * @param loading whether it loads weights and begins nothing
     * @param version the version of its weights
     */
    public record Report(int port, long incarnationMillis, int running, int waiting, boolean loading, long version) {}

    RecordingEngine(String id, BiConsumer<String, UpstreamRun> runs, Consumer<RecordingEngine> loaded)
            throws IOException {
        this.id = Objects.requireNonNull(id, "id");
        this.runs = Objects.requireNonNull(runs, "runs");
        this.loaded = Objects.requireNonNull(loaded, "loaded");
        this.socket = new UpstreamSocket(id, this::run);
        socket.start();
    }

    /**
     * Returns the id.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Suspends its VM for a time, and returns after it. What arrives stays in its sockets meanwhile, closes included.
     *
     * @param millis the time, in milliseconds
     * @throws InterruptedException if this thread is interrupted
     */
    public void suspend(long millis) throws InterruptedException {
        addSuspensions(1);
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } finally {
            addSuspensions(-1);
        }
    }

    /**
     * Makes requests that arrive from now on wait before the engine begins them.
     *
     * @param millis the time that they wait, in milliseconds, 0 for none
     */
    public void setQueueTime(int millis) {
        queueMillis = millis;
    }

    /**
     * Loads a version once the VM runs, after what is running, and returns when it is in use. An older version than the one
     * that it loads or has is ignored.
     *
     * @param newVersion the version
     * @param millis how long the load takes, in milliseconds
     * @throws InterruptedException if this thread is interrupted
     */
    public void load(long newVersion, long millis) throws InterruptedException {
        awaitCommand();
        if (!beginLoad(newVersion)) {
            return;
        }
        TimeUnit.MILLISECONDS.sleep(millis);
        endLoad(newVersion);
        loaded.accept(this);
    }

    /**
     * Reports its load.
     *
     * @return the report; empty while its VM is suspended
     */
    public synchronized Optional<Report> report() {
        return suspensions > 0
                ? Optional.empty()
                : Optional.of(new Report(socket.port(), incarnationMillis, running, waiting, loads > 0, version));
    }

    int working() {
        return working.get();
    }

    synchronized String storeRecord(String service, String model) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.port()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"born\":" + incarnationMillis + ",\"seq\":" + version
                + ",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version
                + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":16,\"version\":" + version + "}}";
    }

    @Override
    public void close() {
        socket.close();
    }

    private synchronized void addSuspensions(int change) {
        suspensions += change;
        notifyAll();
    }

    private void awaitCommand() throws InterruptedException {
        boolean waited = awaitResumed();
        while (waited) {
            TimeUnit.MILLISECONDS.sleep(COMMAND_AFTER_RESUME_MILLIS);
            waited = awaitResumed();
        }
    }

    /** Returns whether the VM was suspended. */
    private synchronized boolean awaitResumed() throws InterruptedException {
        boolean suspended = suspensions > 0;
        while (suspensions > 0) {
            wait();
        }
        return suspended;
    }

    /** Stops beginning requests, and waits for those that run. Returns false if the version is not newer. */
    private synchronized boolean beginLoad(long newVersion) throws InterruptedException {
        if (newVersion <= wantedVersion) {
            return false;
        }
        wantedVersion = newVersion;
        loads++;
        while (running > 0 || suspensions > 0) {
            wait();
        }
        return true;
    }

    private synchronized void endLoad(long newVersion) throws InterruptedException {
        while (suspensions > 0) {
            wait();
        }
        version = Math.max(version, newVersion);
        loads--;
        notifyAll();
    }

    /** Returns whether the connection may be used again, which it always may. */
    private boolean run(WorkOrder order, ReceivedMessage request, UpstreamConnection connection) throws IOException {
        new Run(order, request, connection).perform();
        return true;
    }

    /** A request from its arrival to its end. */
    private final class Run {
        private final long arrivalNanos = System.nanoTime();
        private final WorkOrder order;
        private final ReceivedMessage request;
        private final UpstreamConnection connection;
        private Optional<UpstreamRun.Begin> begin = Optional.empty();

        Run(WorkOrder order, ReceivedMessage request, UpstreamConnection connection) {
            this.order = order;
            this.request = request;
            this.connection = connection;
        }

        void perform() throws IOException {
            working.incrementAndGet();
            try {
                awaitTurn();
                try {
                    respond();
                } finally {
                    addRunning(-1);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            } finally {
                long endNanos = System.nanoTime();
                runs.accept(order.id(), new UpstreamRun(id, arrivalNanos, endNanos, begin.isPresent(), false, begin));
                working.decrementAndGet();
            }
        }

        /** Waits in the queue, for the VM and for a load, and counts the request as running. */
        private void awaitTurn() throws IOException, InterruptedException {
            long turnNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(queueMillis);
            addWaiting(1);
            try {
                do {
                    awaitOpen(turnNanos);
                    dropIfClosed();
                } while (!tryRun());
            } finally {
                addWaiting(-1);
            }
        }

        private void dropIfClosed() throws IOException {
            if (connection.isClosedByPeer()) {
                throw new IOException("the connection of " + order.id() + " was closed before it began");
            }
        }

        private void respond() throws IOException, InterruptedException {
            if (order.deed() == WorkOrder.Deed.REJECT) {
                connection.reject(order.id(), 503, "Retry-After: 1\r\n");
                return;
            }
            OptionalLong expected = expectedVersion();
            if (expected.isPresent() && expected.getAsLong() != currentVersion()) {
                connection.reject(order.id(), 421, "");
                return;
            }
            stream();
        }

        private OptionalLong expectedVersion() {
            String text = request.header("Expect-Version");
            return text.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
        }

        private void stream() throws IOException, InterruptedException {
            String run = id + "-" + Long.toHexString(System.nanoTime());
            String lastEventId = request.header("Last-Event-Id");
            int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
            work();
            dropIfClosed();
            begin = Optional.of(new UpstreamRun.Begin(System.nanoTime(), currentVersion()));
            connection.beginStream(order.id(), RecordingUpstream.seal(id));
            for (int event = first; event <= order.events(); event++) {
                connection.writeEvent(event, order.id(), run);
                if (event < order.events()) {
                    work();
                }
            }
            connection.endStream();
        }

        /** Works for the time of an event; a suspended VM does not go on. */
        private void work() throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(order.pauseMillis());
            awaitResumed();
        }
    }

    private synchronized void awaitOpen(long turnNanos) throws InterruptedException {
        while (suspensions > 0 || loads > 0 || System.nanoTime() - turnNanos < 0) {
            wait(CHECK_MILLIS);
        }
    }

    private synchronized boolean tryRun() {
        if (suspensions > 0 || loads > 0) {
            return false;
        }
        running++;
        return true;
    }

    private synchronized long currentVersion() {
        return version;
    }

    private synchronized void addRunning(int change) {
        running += change;
        notifyAll();
    }

    private synchronized void addWaiting(int change) {
        waiting += change;
    }
}
