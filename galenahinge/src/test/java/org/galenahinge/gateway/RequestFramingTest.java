package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestFramingTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/a | Host=h | true",
                "/a | Host=h;Content-Length=5 | true",
                "/a | Host=h;Transfer-Encoding=chunked | true",
                "/a | Host=h;Transfer-Encoding=Chunked | true",
                "/a | Host=h;Content-Length=5;Transfer-Encoding=chunked | false",
                "/a | Host=h;Content-Length=5;Content-Length=6 | false",
                "/a | Host=h;Content-Length=+5 | false",
                "/a | Host=h;Transfer-Encoding=identity | false",
                "/a | Host=h;Transfer-Encoding=gzip, chunked | false",
                "/a | Host=h;Host=other | false",
                "/a | X=y | false",
                "http://h/a | Host=h | false"
            })
    void acceptsOnlyRequestsWithUnambiguousFraming(String uri, String headers, boolean accepted) {
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri, parse(headers));
        assertThat(RequestFraming.faultOf(request).isEmpty()).isEqualTo(accepted);
    }

    @Test
    void removesHopByHopHeaders() {
        HttpHeaders copied = new DefaultHttpHeaders();
        HopHeaders.copy(
                parse("Host=h;Connection=close, X-Mine;X-Mine=1;Keep-Alive=timeout=3;Transfer-Encoding=chunked;"
                        + "Upgrade=h2c;TE=trailers;X-Kept=2"),
                copied);
        assertThat(copied.names()).containsExactlyInAnyOrder("Host", "X-Kept");
    }

    @ParameterizedTest
    @CsvSource({"1, 2, true", "2, 2, false", "3, 2, false", "9, 10, true", "a, b, true", "a, a, false"})
    void recognisesEventsThatFollowTheLastOne(String last, String next, boolean follows) {
        assertThat(EventIds.follows(last, next)).isEqualTo(follows);
    }

    @Test
    void findsTheIdFieldAnywhereInAnEvent() {
        assertThat(EventIds.idOf("data: x\nid: 7\ndata: y")).contains("7");
        assertThat(EventIds.idOf("id:8")).contains("8");
        assertThat(EventIds.idOf("data: id: 9")).isEmpty();
    }

    private static HttpHeaders parse(String text) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (String header : text.strip().split(";", -1)) {
            int equals = header.indexOf('=');
            headers.add(
                    header.substring(0, equals).strip(),
                    header.substring(equals + 1).strip());
        }
        return headers;
    }
}
