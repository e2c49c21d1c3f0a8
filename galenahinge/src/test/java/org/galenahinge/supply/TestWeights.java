package org.galenahinge.supply;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.galenahinge.upstream.WeightsVersion;

/** Weights for tests; the content of each chunk names its version and number. */
final class TestWeights {
    private TestWeights() {}

    static WeightsVersion weights(long version) {
        return new WeightsVersion("m", version);
    }

    static byte[] chunk(long version, int number) {
        return ("v" + version + " chunk " + number).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the digests with one character of one of them changed. */
    static WeightsDigests damagedDigests(long version, int chunks, int damaged) {
        List<String> damagedDigests = new ArrayList<>(digests(version, chunks).digests());
        String digest = damagedDigests.get(damaged);
        damagedDigests.set(damaged, (digest.startsWith("0") ? "1" : "0") + digest.substring(1));
        return new WeightsDigests(weights(version), damagedDigests);
    }

    static WeightsDigests digests(long version, int chunks) {
        List<String> digests = new ArrayList<>();
        for (int number = 0; number < chunks; number++) {
            digests.add(Hashing.sha256().hashBytes(chunk(version, number)).toString());
        }
        return new WeightsDigests(weights(version), digests);
    }
}
