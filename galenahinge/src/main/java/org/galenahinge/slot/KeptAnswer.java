package org.galenahinge.slot;

import java.util.Objects;
import org.apache.pekko.util.ByteString;

/**
 * Holds a whole answer of a plain service.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 */
record KeptAnswer(int status, String contentType, ByteString body) {
    /** Stands where there is no answer. */
    static final KeptAnswer NONE = new KeptAnswer(0, "", ByteString.emptyByteString());

    KeptAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
