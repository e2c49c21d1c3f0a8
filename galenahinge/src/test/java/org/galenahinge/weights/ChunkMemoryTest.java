package org.galenahinge.weights;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.galenahinge.weights.ChunkMemory.Keeping;
import org.galenahinge.weights.Manifest.Chunk;
import org.junit.jupiter.api.Test;

class ChunkMemoryTest {
    private final ChunkMemory memory = ChunkMemory.create(10);

    @Test
    void keepsOnlyWhatTheHashNames() {
        Chunk chunk = chunk("abcd");

        assertThat(memory.keep(chunk, bytes("abcx"))).isEqualTo(Keeping.CORRUPT);
        assertThat(memory.keep(chunk, bytes("abc"))).isEqualTo(Keeping.CORRUPT);
        assertThat(memory.holds(chunk.hash())).isFalse();
        assertThat(memory.keep(chunk, bytes("abcd"))).isEqualTo(Keeping.KEPT);
        assertThat(memory.keep(chunk, bytes("abcd"))).isEqualTo(Keeping.ALREADY_HELD);
    }

    @Test
    void refusesWhatDoesNotFit() {
        memory.keep(chunk("abcdefgh"), bytes("abcdefgh"));

        assertThat(memory.keep(chunk("xyz"), bytes("xyz"))).isEqualTo(Keeping.NO_ROOM);
        assertThat(memory.heldBytes()).isEqualTo(8);
    }

    @Test
    void keepsWhatTwoVersionsShare() {
        memory.keep(chunk("old"), bytes("old"));
        memory.keep(chunk("both"), bytes("both"));
        memory.retain(Set.of(chunk("both").hash(), chunk("new").hash()));

        assertThat(memory.holds(chunk("both").hash())).isTrue();
        assertThat(memory.holds(chunk("old").hash())).isFalse();
        assertThat(memory.heldBytes()).isEqualTo(4);
    }

    @Test
    void changesTheFingerprintWithAnyPart() {
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
