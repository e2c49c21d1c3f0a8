package org.galenahinge.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Rendezvous hashing: ranks VMs for a key so that every node computes the same order and few keys move when a VM is
 * added or removed.
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private Rendezvous() {}

    /**
     * Returns the rank of a VM for a key.
     *
     * @param vm name of the VM
     * @param key hash of the key, from {@link #key}
     * @return the rank; the VM with the smallest rank is first
     */
    public static long hash(String vm, long key) {
        return HASH.newHasher()
                .putLong(key)
                .putString(vm, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns the hash of a key.
     *
     * @param text the key
     * @return the hash
     */
    public static long key(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
