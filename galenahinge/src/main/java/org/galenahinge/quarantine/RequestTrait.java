package org.galenahinge.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * What may make a request crash upstreams: a part of its prompt, which other requests may contain, or the request as a
 * whole, which its caller may send again. Of a fixed size, whatever the request.
 *
 * @param id identifies the trait among those of its kind
 * @param kind the kind
 */
public record RequestTrait(long id, Kind kind) {
    private static final int MAXIMUM_HEXADECIMAL_DIGITS = 16;
    private static final int HEXADECIMAL = 16;

    /** The kinds of traits. */
    public enum Kind {
        /** A part of the prompt. */
        PROMPT_PART,
        /** The request as a whole: what it asks for, who sends it, and its body. */
        WHOLE_REQUEST
    }

    /** Rejects a missing kind. */
    public RequestTrait {
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns a part of a prompt.
     *
     * @param id identifies the part
     * @return the trait
     */
    public static RequestTrait ofPart(long id) {
        return new RequestTrait(id, Kind.PROMPT_PART);
    }

    /**
     * Returns the part of a prompt with a name.
     *
     * @param name a hexadecimal number of at most 64 bits, which becomes the id, or any other text, whose hash becomes the id
     * @return the trait
     */
    public static RequestTrait ofPart(String name) {
        Objects.requireNonNull(name, "name");
        if (!name.isEmpty() && name.length() <= MAXIMUM_HEXADECIMAL_DIGITS) {
            try {
                return ofPart(Long.parseUnsignedLong(name, HEXADECIMAL));
            } catch (NumberFormatException e) {
                return hashed(name);
            }
        }
        return hashed(name);
    }

    /**
     * Returns the trait of a request as a whole.
     *
     * @param id identifies the request
     * @return the trait
     */
    public static RequestTrait ofRequest(long id) {
        return new RequestTrait(id, Kind.WHOLE_REQUEST);
    }

    /**
     * Returns the trait of a request as a whole. It is the same for each repetition.
     *
     * @param method the HTTP method
     * @param uri the host, path and query
     * @param caller who sends it, as text; empty if unknown
     * @param body the body
     * @return the trait
     */
    public static RequestTrait ofRequest(String method, String uri, String caller, byte[] body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        putText(hasher, method);
        putText(hasher, uri);
        putText(hasher, caller);
        return ofRequest(hasher.putBytes(body).hash().asLong());
    }

    /**
     * Returns whether this is a request as a whole.
     *
     * @return whether no two requests that differ have it
     */
    public boolean isWholeRequest() {
        return kind == Kind.WHOLE_REQUEST;
    }

    /**
     * Returns the ids of traits as text for logs.
     *
     * @param traits the traits
     * @return the ids, separated by commas
     */
    public static String join(Collection<RequestTrait> traits) {
        return traits.stream().map(RequestTrait::toString).collect(Collectors.joining(","));
    }

    /** Returns the id as a hexadecimal number. */
    @Override
    public String toString() {
        return Long.toHexString(id);
    }

    private static RequestTrait hashed(String name) {
        return ofPart(
                Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong());
    }

    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
