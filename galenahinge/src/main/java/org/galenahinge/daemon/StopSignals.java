package org.galenahinge.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/**
 * Listens for the signals that stop a daemon: the first starts a graceful stop, a second one cuts it short.
 *
 * <p>The runtime's signal interface is reached by reflection, since it is not part of the standard library.
 */
public final class StopSignals {
    /** The exit code of a stop that was cut short. */
    public static final int CUT_SHORT = 130;

    private static final Logger LOG = Logger.getLogger(StopSignals.class);
    private static final String[] NAMES = {"TERM", "INT"};

    private StopSignals() {}

    /**
     * Listens for the signals.
     *
     * @param gracefulStop starts the stop; must not block
     */
    public static void listen(Runnable gracefulStop) {
        Objects.requireNonNull(gracefulStop, "gracefulStop");
        AtomicInteger signals = new AtomicInteger();
        for (String name : NAMES) {
            register(name, () -> heard(name, signals.incrementAndGet(), gracefulStop));
        }
    }

    /**
     * Listens for the signal that asks a daemon to read its settings again.
     *
     * @param reload reads them; must not block
     */
    public static void listenForReload(Runnable reload) {
        register("HUP", Objects.requireNonNull(reload, "reload"));
    }

    private static void heard(String name, int count, Runnable gracefulStop) {
        if (count > 1) {
            LOG.warnf("signal %s again: stopping at once", name);
            Runtime.getRuntime().halt(CUT_SHORT);
        }
        LOG.infof("signal %s: stopping gracefully", name);
        gracefulStop.run();
    }

    private static void register(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                    return null;
                }
                return method.getName().equals("hashCode") ? (Object) System.identityHashCode(proxy) : null;
            };
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, invocation);
            Object subject = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, subject, proxy);
        } catch (ReflectiveOperationException e) {
            LOG.warnf("cannot listen for signal %s: %s", name, e);
        }
    }
}
