package org.galenahinge.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    private static final List<String> ENTRY_FLAGS = List.of(
            "--name",
            "entry-1",
            "--address",
            "127.0.0.1",
            "--wire-port",
            "7001",
            "--http-port",
            "7002",
            "--region",
            "north",
            "--failure-domain",
            "north-1",
            "--configuration-service",
            "http://127.0.0.1:7003",
            "--vm-list",
            "http://127.0.0.1:7004");

    @Test
    void prefersFlagsToEnvironmentVariablesToDefaults() {
        EntrySettings settings = EntrySettings.read(
                ENTRY_FLAGS, Map.of("GALENAHINGE_NAME", "other", "GALENAHINGE_MAXIMUM_REQUESTS", "17"));

        assertThat(settings.vmSettings().vm().name()).isEqualTo("entry-1");
        assertThat(settings.maximumRequests()).isEqualTo(17);
        assertThat(settings.maximumBodyBytes()).isEqualTo(1 << 20);
    }

    @ParameterizedTest
    @CsvSource({
        "--wire-port,70000",
        "--wire-port,none",
        "--address,localhost",
        "--vm-list,https://127.0.0.1:1",
        "--vm-list,http://vm-list:1",
        "--log-format,xml",
        "--maximum-requests,0",
        "--region,two words",
        "--http-port,7001"
    })
    void namesSettingAndValueInTheErrorMessage(String flag, String value) {
        assertThatThrownBy(() -> EntrySettings.read(entryFlagsWith(flag, value), Map.of()))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(flag)
                .hasMessageContaining(value);
    }

    @Test
    void namesAllMissingSettings() {
        assertThatThrownBy(() -> EntrySettings.read(List.of(), Map.of()))
                .hasMessageContaining("--name (or GALENAHINGE_NAME)")
                .hasMessageContaining("--vm-list");
    }

    @Test
    void listsFlagsVariablesAndDefaultsInTheHelp() {
        assertThat(SlotSettings.reader().help())
                .contains("--origin-copies")
                .contains("GALENAHINGE_VM_LINK_RATE")
                .contains("bytes a second")
                .contains("default");
    }

    private static List<String> entryFlagsWith(String flag, String value) {
        List<String> flags = new ArrayList<>(ENTRY_FLAGS);
        int position = flags.indexOf(flag);
        if (position >= 0) {
            flags.set(position + 1, value);
        } else {
            flags.addAll(List.of(flag, value));
        }
        return flags;
    }
}
