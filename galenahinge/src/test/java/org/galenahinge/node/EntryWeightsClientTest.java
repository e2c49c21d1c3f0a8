package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.galenahinge.supply.LoadSchedule;
import org.galenahinge.supply.SupplyException;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.generated.WeightsOffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryWeightsClientTest {
    private static final int CHUNKS = 4;
    private static final WeightsDigests DIGESTS =
            new WeightsDigests(new WeightsVersion("m", 2), Collections.nCopies(CHUNKS, "9f".repeat(32)));

    /** Guards against an entry's list that lost digests on its way and is taken for that of the whole version. */
    @ParameterizedTest
    @ValueSource(ints = {1, CHUNKS - 1, CHUNKS})
    void takesOnlyAListWithAllDigests(int left) throws InvalidProtocolBufferException {
        byte[] whole = EntryWeightsClient.encode(Optional.of(DIGESTS), new LoadSchedule(List.of(), 0), List.of());
        WeightsOffer.Builder offer = WeightsOffer.parseFrom(whole).toBuilder();
        offer.clearDigests()
                .addAllDigests(WeightsOffer.parseFrom(whole).getDigestsList().subList(0, left));
        byte[] received = offer.build().toByteArray();
        if (left == CHUNKS) {
            assertThat(EntryWeightsClient.decode(received).digests()).contains(DIGESTS);
            return;
        }
        assertThatThrownBy(() -> EntryWeightsClient.decode(received)).isInstanceOf(SupplyException.class);
    }
}
