package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestTraitTest {
    @ParameterizedTest
    @CsvSource({
        "POST, host/path, firm, body, true",
        "GET, host/path, firm, body, false",
        "POST, host/path?x, firm, body, false",
        "POST, host/path, other, body, false",
        "POST, host/path, firm, other, false",
        "POST, host/pathf, irm, body, false"
    })
    void identifiesARequestByWhatItsCallerSends(String method, String uri, String caller, String body, boolean same) {
        RequestTrait first = request("POST", "host/path", "firm", "body");
        assertThat(request(method, uri, caller, body).equals(first)).isEqualTo(same);
    }

    @Test
    void tellsPartsFromRequests() {
        assertThat(RequestTrait.ofPart(1)).isNotEqualTo(RequestTrait.ofRequest(1));
        assertThat(RequestTrait.ofPart("ff")).isEqualTo(RequestTrait.ofPart(255));
        assertThat(RequestTrait.ofPart("a name")).isEqualTo(RequestTrait.ofPart("a name"));
    }

    private static RequestTrait request(String method, String uri, String caller, String body) {
        return RequestTrait.ofRequest(method, uri, caller, body.getBytes(StandardCharsets.UTF_8));
    }
}
