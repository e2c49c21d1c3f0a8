package org.galenahinge.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Objects;
import org.jboss.logging.Logger;

/**
 * Delivers the signals that the operating system sends to this process.
 *
 * <p>Uses {@code sun.misc.Signal} by reflection, since it is not part of the standard library. If it is not available,
 * a warning is logged and the signals keep their default effect.
 */
public final class ProcessSignals {
    private ProcessSignals() {}

    /**
     * Delivers each {@link ProcessSignal} to an inbox from now on. A main class does this first of all, since a signal
     * that comes before has its default effect, which ends the process.
     *
     * @param inbox receives the signals, on a thread of its own for each
     */
    public static void deliverTo(SignalInbox inbox) {
        Objects.requireNonNull(inbox, "inbox");
        for (ProcessSignal signal : ProcessSignal.values()) {
            register(signal.name(), () -> inbox.receive(signal, System.nanoTime()));
        }
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
            // The logger is found only here, since to load it delays the handlers.
            Logger.getLogger(ProcessSignals.class).warnf("cannot listen for signal %s: %s", name, e);
        }
    }
}
