package org.galenahinge.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Ranks VMs for a key so that every process gets the same order and few keys move when a VM comes or goes. */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private Rendezvous() {}

    /**
     * Hashes a VM for a key.
     *
     * @param vm the VM's name
     * @param key the key's hash
     * @return the rank; the smallest goes first
     */
    public static long hash(String vm, long key) {
        return HASH.newHasher()
                .putLong(key)
                .putString(vm, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Hashes a text to a key.
     *
     * @param text the text
     * @return the key's hash
     */
    public static long key(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
