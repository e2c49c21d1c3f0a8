package org.galenahinge.bench.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenahinge.standins.platform.CallerConnection;
import org.galenahinge.standins.platform.CallerResponse;
import org.galenahinge.standins.platform.WorkOrder;

/**
 * A caller that sends requests until it is told to end. It keeps using a connection until the entry closes it or says that
 * it does; some connections carry one request only, some several before the first response, and some are read slowly.
 */
final class Caller implements Runnable {
    private static final int KEPT_REQUESTS = 40;
    private static final int PIPELINED_REQUESTS = 3;
    private static final int THINK_MILLIS = 120;
    private static final int GIVE_UP_AFTER_MILLIS = 500;

    private final List<InetSocketAddress> entries;
    private final Random random;
    private final WorkSource source;
    private final Consumer<Attempt> attempts;
    private final BooleanSupplier ends;

    Caller(
            List<InetSocketAddress> entries,
            Random random,
            WorkSource source,
            Consumer<Attempt> attempts,
            BooleanSupplier ends) {
        this.entries = List.copyOf(entries);
        this.random = random;
        this.source = source;
        this.attempts = attempts;
        this.ends = ends;
    }

    /** How a caller uses a connection. */
    private enum Use {
        KEPT,
        ONCE,
        PIPELINED,
        SLOW,
        /** It reads slowly, and sends the next request while it reads. */
        SLOW_PIPELINED;

        boolean isSlow() {
            return this == SLOW || this == SLOW_PIPELINED;
        }
    }

    /** A request on its way. */
    private record Sent(WorkOrder order, long budgetMillis, long beginNanos, long sentNanos, boolean whileReading) {}

    @Override
    public void run() {
        while (!ends.getAsBoolean()) {
            int entry = random.nextInt(entries.size());
            Use use = Use.values()[random.nextInt(Use.values().length)];
            try (CallerConnection connection = new CallerConnection(entries.get(entry), use.isSlow())) {
                useConnection(connection, entry, use);
            } catch (IOException e) {
                // The entry takes no connection, as during its stop; the next choice may.
                think();
            }
        }
    }

    private void useConnection(CallerConnection connection, int entry, Use use) {
        int requests = use == Use.ONCE ? 1 : KEPT_REQUESTS;
        boolean open = true;
        for (int request = 0; request < requests && open && !ends.getAsBoolean(); request++) {
            int together = use == Use.PIPELINED ? 2 + random.nextInt(PIPELINED_REQUESTS - 1) : 1;
            open = sendAndRead(connection, entry, use, together);
            if (random.nextBoolean()) {
                think();
            }
        }
    }

    /** Returns whether the connection may be used again. */
    private boolean sendAndRead(CallerConnection connection, int entry, Use use, int together) {
        List<Sent> sent = new ArrayList<>();
        boolean open = !connection.hasUnexpectedBytes();
        for (int request = 0; request < together; request++) {
            open &= send(connection, use.isSlow(), false, sent);
        }
        if (use == Use.SLOW_PIPELINED) {
            int bytes = random.nextInt(WorkSource.LARGE_BYTES);
            connection.whenRead(bytes, () -> send(connection, true, true, sent));
        }
        boolean closeAnnounced = false;
        boolean left = false;
        Optional<String> cut = Optional.empty();
        for (int request = 0; request < sent.size(); request++) {
            Sent one = sent.get(request);
            CallerResponse response = left ? CallerResponse.left() : read(connection, one);
            record(entry, one, response, closeAnnounced, cut);
            if (response.isRefusal()) {
                think();
            }
            left |= response.ending() == CallerResponse.Ending.TIME_OVER;
            closeAnnounced |= response.closes();
            boolean complete = response.ending() == CallerResponse.Ending.COMPLETE;
            cut = complete || cut.isPresent() ? cut : Optional.of(one.order().id());
            open &= complete;
        }
        return open && !closeAnnounced;
    }

    private boolean send(CallerConnection connection, boolean slow, boolean whileReading, List<Sent> sent) {
        WorkOrder order = source.next(random, slow);
        long budgetMillis = source.budgetMillis(order);
        long beginNanos = System.nanoTime();
        boolean whole = true;
        try {
            connection.send(order, budgetMillis);
        } catch (IOException e) {
            whole = false;
        }
        sent.add(new Sent(order, budgetMillis, beginNanos, System.nanoTime(), whileReading));
        return whole;
    }

    private static CallerResponse read(CallerConnection connection, Sent sent) {
        long patienceMillis = sent.budgetMillis() + GIVE_UP_AFTER_MILLIS;
        return connection.read(sent.beginNanos() + TimeUnit.MILLISECONDS.toNanos(patienceMillis));
    }

    private void record(
            int entry, Sent sent, CallerResponse response, boolean closeAnnounced, Optional<String> behind) {
        boolean complete = response.ending() == CallerResponse.Ending.COMPLETE;
        attempts.accept(new Attempt(
                sent.order(),
                entry,
                sent.beginNanos(),
                sent.sentNanos(),
                System.nanoTime(),
                sent.budgetMillis(),
                response.ending(),
                response.status(),
                closeAnnounced,
                sent.whileReading(),
                behind,
                complete ? response.findMixture(sent.order()) : Optional.empty(),
                response.findDisorder(sent.order())));
    }

    private void think() {
        try {
            TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(THINK_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
