package org.galenahinge.node;

import org.galenahinge.facts.FactDecoder;
import org.galenahinge.facts.FactSource;
import org.galenahinge.gateway.RequestTranslator;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * Adapters to the platform that a node runs on. They only translate between the platform's interfaces and the system's,
 * and keep no state that influences decisions.
 */
public interface NodePlatform {
    /**
     * Creates a client for the store.
     *
     * @param threads the threads that serve its connections
     * @return the client
     */
    FactSource store(NetworkThreads threads);

    /**
     * Returns the decoder for the items in the store.
     *
     * @return the decoder
     */
    FactDecoder decoder();

    /**
     * Returns the translator for the headers of callers' requests and responses.
     *
     * @return the translator
     */
    RequestTranslator translator();

    /**
     * Creates a client for an engine.
     *
     * @param threads the threads that serve its connections
     * @param address the address of the engine
     * @return the client
     */
    EngineControl engine(NetworkThreads threads, WireAddress address);

    /**
     * Creates a client for the origin of weights.
     *
     * @param threads the threads that serve its connections
     * @param address the address of the origin
     * @return the client
     */
    WeightsSource origin(NetworkThreads threads, WireAddress address);
}
