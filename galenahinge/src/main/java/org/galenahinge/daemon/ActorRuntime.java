package org.galenahinge.daemon;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/** Creates the actor system that runs the HTTP streams of a process. */
public final class ActorRuntime {
    private ActorRuntime() {}

    /**
     * Creates an actor system with the settings in {@code galenahinge.conf}.
     *
     * @param name the actor system's name
     * @return the running system
     */
    public static ActorSystem<Void> create(String name) {
        Config config = ConfigFactory.parseResources("galenahinge.conf").withFallback(ConfigFactory.load());
        return ActorSystem.create(Behaviors.empty(), name, config.resolve());
    }
}
