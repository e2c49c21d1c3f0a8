package org.galenahinge.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/**
 * Handles the signals that a daemon receives: TERM and INT to stop, and optionally HUP to reload its settings.
 *
 * <p>Uses {@code sun.misc.Signal} by reflection, since it is not part of the standard library. If it is not available,
 * a warning is logged and the signals keep their default effect.
 */
public final class ProcessSignals {
    /** The exit code after a second stop signal. */
    public static final int EXIT_FORCED_STOP = 130;

    private static final Logger LOG = Logger.getLogger(ProcessSignals.class);
    private static final String[] STOP_SIGNALS = {"TERM", "INT"};

    private ProcessSignals() {}

    /**
     * Listens for TERM and INT. The first signal starts a graceful stop; the second halts the process at once with exit
     * code {@value #EXIT_FORCED_STOP}.
     *
     * @param gracefulStop starts the graceful stop; must not block
     */
    public static void listenForStop(Runnable gracefulStop) {
        Objects.requireNonNull(gracefulStop, "gracefulStop");
        AtomicInteger signals = new AtomicInteger();
        for (String name : STOP_SIGNALS) {
            register(name, () -> handleStop(name, signals.incrementAndGet(), gracefulStop));
        }
    }

    /**
     * Listens for HUP, the signal to reload the settings.
     *
     * @param reload reloads the settings; must not block
     */
    public static void listenForReload(Runnable reload) {
        register("HUP", Objects.requireNonNull(reload, "reload"));
    }

    private static void handleStop(String name, int count, Runnable gracefulStop) {
        if (count > 1) {
            LOG.warnf("signal %s again: stopping at once", name);
            Runtime.getRuntime().halt(EXIT_FORCED_STOP);
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
            Object signalInstance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, signalInstance, proxy);
        } catch (ReflectiveOperationException e) {
            LOG.warnf("cannot listen for signal %s: %s", name, e);
        }
    }
}
