package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
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
        "'', ''"
    })
    void findsTheFewestPartsThatExplainTheCrashes(String crashes, String expected) {
        List<Crash> list = new ArrayList<>();
        for (String suspects : crashes.split("\\|", -1)) {
            list.add(new Crash(list.size(), parts(suspects), Set.of()));
        }
        assertThat(CrashAttribution.causes(list).stream()
                        .map(cause -> text(cause.parts()))
                        .sorted()
                        .collect(Collectors.joining(" / ")))
                .isEqualTo(Stream.of(expected.split(" / "))
                        .map(cause -> text(parts(cause)))
                        .sorted()
                        .collect(Collectors.joining(" / ")));
    }

    private static Set<PromptPart> parts(String names) {
        return Stream.of(names.strip().split(" "))
                .filter(name -> !name.isEmpty())
                .map(PromptPart::of)
                .collect(Collectors.toSet());
    }

    private static String text(Set<PromptPart> parts) {
        return PromptPart.join(new ArrayList<>(
                        new TreeSet<>(parts.stream().map(PromptPart::toString).toList()))
                .stream().map(PromptPart::of).toList());
    }
}
