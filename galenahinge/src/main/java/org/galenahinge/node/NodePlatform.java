package org.galenahinge.node;

import org.galenahinge.facts.FactDecoder;
import org.galenahinge.facts.FactSource;
import org.galenahinge.gateway.RequestTranslator;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** The platform that a node runs on. Its parts translate; they hold no state that decides anything. */
public interface NodePlatform {
    /**
     * Returns the client for the store.
     *
     * @param threads the threads of its connections
     * @return the client
     */
    FactSource store(NetworkThreads threads);

    /**
     * Returns what the store's items mean.
     *
     * @return the decoder
     */
    FactDecoder decoder();

    /**
     * Returns the names of headers.
     *
     * @return the translator
     */
    RequestTranslator translator();

    /**
     * Returns the client for an engine.
     *
     * @param threads the threads of its connections
     * @param address where the engine listens
     * @return the client
     */
    EngineControl engine(NetworkThreads threads, WireAddress address);

    /**
     * Returns the client for the origin of weights.
     *
     * @param threads the threads of its connections
     * @param address where the origin listens
     * @return the client
     */
    WeightsSource origin(NetworkThreads threads, WireAddress address);
}
