package org.galenahinge.weights;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.galenahinge.weights.ChunkCache.AddResult;
import org.galenahinge.weights.Manifest.Chunk;
import org.junit.jupiter.api.Test;

class ChunkCacheTest {
    private final ChunkCache cache = ChunkCache.create(10);

    @Test
    void addsOnlyContentThatMatchesTheHash() {
        Chunk chunk = chunk("abcd");

        assertThat(cache.add(chunk, bytes("abcx"))).isEqualTo(AddResult.CORRUPT);
        assertThat(cache.add(chunk, bytes("abc"))).isEqualTo(AddResult.CORRUPT);
        assertThat(cache.contains(chunk.hash())).isFalse();
        assertThat(cache.add(chunk, bytes("abcd"))).isEqualTo(AddResult.KEPT);
        assertThat(cache.add(chunk, bytes("abcd"))).isEqualTo(AddResult.ALREADY_PRESENT);
    }

    @Test
    void rejectsChunksBeyondTheMaximumSize() {
        cache.add(chunk("abcdefgh"), bytes("abcdefgh"));

        assertThat(cache.add(chunk("xyz"), bytes("xyz"))).isEqualTo(AddResult.CACHE_FULL);
        assertThat(cache.usedBytes()).isEqualTo(8);
    }

    @Test
    void retainsChunksSharedByTwoVersions() {
        cache.add(chunk("old"), bytes("old"));
        cache.add(chunk("both"), bytes("both"));
        cache.retainAll(Set.of(chunk("both").hash(), chunk("new").hash()));

        assertThat(cache.contains(chunk("both").hash())).isTrue();
        assertThat(cache.contains(chunk("old").hash())).isFalse();
        assertThat(cache.usedBytes()).isEqualTo(4);
    }

    @Test
    void fingerprintDependsOnKeyAndChunks() {
        Manifest base = new Manifest(new Artifact("models/m/1"), List.of(chunk("a"), chunk("b")));
        Manifest adapter = new Manifest(new Artifact("adapters/m/x"), List.of(chunk("c")));
        String plain = WeightsManifest.of("m/1", List.of(base)).fingerprint();

        assertThat(WeightsManifest.of("m/1", List.of(base)).fingerprint()).isEqualTo(plain);
        assertThat(WeightsManifest.of("m/2", List.of(base)).fingerprint()).isNotEqualTo(plain);
        assertThat(WeightsManifest.of("m/1", List.of(base, adapter)).fingerprint())
                .isNotEqualTo(plain);
    }

    private static Chunk chunk(String content) {
        String hash = Hashing.sha256().hashBytes(bytes(content)).toString();
        return new Chunk(hash, content.length());
    }

    private static byte[] bytes(String content) {
        return content.getBytes(StandardCharsets.UTF_8);
    }
}
