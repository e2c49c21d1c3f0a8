package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CrashAttributionTest {
    /** Each crash is a list of its suspects; a cause is a list of its parts. */
    @ParameterizedTest
    @CsvSource({
        "a bad | b bad, ''",
        "a bad | b bad | c bad, bad",
        "a bad | a bad | c bad, bad",
        "a bad | a bad | a bad, a bad",
        "a bad | a bad | a bad | bad, bad",
        "a bad c | a bad d | a bad e | b bad c, bad",
        // Overlapping ties wait for the next crash, but not for ever.
        "a bad | a bad | a | bad, ''",
        "a bad | a bad | a bad | a bad | a | bad, a / bad",
        "bad | bad | bad | worse | worse | worse, bad / worse",
        "bad worse | bad | bad | bad | worse | worse | worse, ''",
        "bad worse | bad | bad | bad | bad | worse | worse | worse, bad / worse",
        // What one part explains does not speak against another.
        "a bad | a bad | a bad | a b | bad | bad, bad",
        "'', ''",
        // Whole requests begin with an exclamation mark.
        "!f | !f, ''",
        "a !f | b !f | c !f, !f",
        "!e !f | !e !f | !e !f, !e / !f",
        // A part that was there only together with such a request is not a cause, one that was there elsewhere is.
        "a !f | a !f | a !f, !f",
        "a !f | a !f | a !f | a !e, !f",
        // A part that explains more than a request explains the crashes of the request, too.
        "a !f | a !f | a !f | a !e | a !d, a",
        "a !f | a !f | a !f | a !f | a !e, !f",
        "a !f | a !f | a !f | a !e | a !d | a !c, a",
        "a !f | a !f | a !f | !e | !e | !e, !e / !f",
        // Requests that are sent again explain together what one part explains alone.
        "bad !f | bad !f | bad !f | bad !e | bad !e | bad !e, bad",
        "bad !f !d | bad !f !d | bad !f | bad !e !d | bad !e | bad !e | bad !d, bad",
        "bad !f | bad !f | bad !f | bad !e, !f",
        // A tie between parts does not delay what a request explains.
        "a b !f | a !f | a b !f | b, !f"
    })
    void findsTheFewestPartsThatExplainTheCrashes(String crashes, String expected) {
        List<Set<RequestTrait>> list = new ArrayList<>();
        for (String suspects : crashes.split("\\|", -1)) {
            list.add(parts(suspects));
        }
        assertThat(CrashAttribution.causes(list).stream()
                        .map(cause -> text(cause.traits()))
                        .sorted()
                        .collect(Collectors.joining(" / ")))
                .isEqualTo(Stream.of(expected.split(" / "))
                        .map(cause -> text(parts(cause)))
                        .sorted()
                        .collect(Collectors.joining(" / ")));
    }

    private static Set<RequestTrait> parts(String names) {
        return Stream.of(names.strip().split(" "))
                .filter(name -> !name.isEmpty())
                .map(CrashAttributionTest::trait)
                .collect(Collectors.toSet());
    }

    private static RequestTrait trait(String name) {
        return name.startsWith("!")
                ? RequestTrait.ofRequest(Long.parseLong(name.substring(1), 16))
                : RequestTrait.ofPart(name);
    }

    private static String text(Set<RequestTrait> traits) {
        return traits.stream()
                .map(trait -> (trait.isWholeRequest() ? "!" : "") + trait)
                .sorted()
                .collect(Collectors.joining(","));
    }
}
