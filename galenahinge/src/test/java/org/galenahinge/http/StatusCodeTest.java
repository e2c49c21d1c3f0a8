package org.galenahinge.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusCodeTest {
    private static final int SWITCHING_PROTOCOLS = 101;

    /** Guards against a code that a number parser takes for a valid one, such as 0200 or +20. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "0",
                "00",
                "000",
                "20",
                "99",
                "099",
                "600",
                "999",
                "0200",
                "2000",
                "+20",
                "+200",
                "-20",
                "-200",
                "2 0",
                "20a",
                "abc",
                "2.0",
                "\u0662\u0660\u0660",
                "\u00b200",
                "101"
            })
    void findsInvalidCodes(String code) {
        assertThat(StatusCode.faultOf(code)).isPresent();
    }

    /** Guards against a valid code without a meaning of its own, such as 299, that is taken for a fault. */
    @Test
    void acceptsAllOthers() {
        assertThat(IntStream.range(100, 600)
                        .filter(code -> code != SWITCHING_PROTOCOLS)
                        .mapToObj(Integer::toString))
                .allMatch(code -> StatusCode.faultOf(code).isEmpty());
    }
}
