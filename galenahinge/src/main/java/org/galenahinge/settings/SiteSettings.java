package org.galenahinge.settings;

import java.util.List;
import org.galenahinge.membership.Vm;

/**
 * Holds the settings that both daemons share: where the process stands and how it logs.
 *
 * @param vm the own VM, with its addresses and failure domain
 * @param logFormat {@code json} or {@code plain}
 * @param logLevel the least level that is written
 * @param decisionLinesPerSecond the most decision lines written in a second
 */
public record SiteSettings(Vm vm, String logFormat, String logLevel, int decisionLinesPerSecond) {
    private static final Setting<String> NAME = Setting.name("name", "name of the own VM, as the VM list has it");
    private static final Setting<String> ADDRESS = Setting.address("address", "own address, reachable from the fleet");
    private static final Setting<Long> WIRE_PORT =
            Setting.number("wire-port", "TCP port for links between the system's own processes", 1, 65_535, null);
    private static final Setting<Long> HTTP_PORT =
            Setting.number("http-port", "TCP port for HTTP: callers, operators, metrics", 1, 65_535, null);
    private static final Setting<String> REGION = Setting.name("region", "region of the own VM");
    private static final Setting<String> FAILURE_DOMAIN =
            Setting.name("failure-domain", "failure domain of the own VM");
    private static final Setting<String> LOG_FORMAT =
            Setting.choice("log-format", "format of log lines", "json", "json", "plain");
    private static final Setting<String> LOG_LEVEL =
            Setting.choice("log-level", "least level that is logged", "info", "debug", "info", "warn", "error");
    private static final Setting<Long> DECISION_LINES = Setting.number(
            "decision-lines-per-second", "most decision lines logged, in lines a second", 1, 100_000, 500L);

    /** The settings read here, to be listed by each daemon. */
    static final List<Setting<?>> ALL =
            List.of(NAME, ADDRESS, WIRE_PORT, HTTP_PORT, REGION, FAILURE_DOMAIN, LOG_FORMAT, LOG_LEVEL, DECISION_LINES);

    static SiteSettings from(SettingsReader.Values values, Vm.Kind kind) {
        Vm vm = new Vm(
                values.get(NAME),
                kind,
                values.get(ADDRESS),
                values.get(WIRE_PORT).intValue(),
                values.get(HTTP_PORT).intValue(),
                values.get(REGION),
                values.get(FAILURE_DOMAIN),
                false);
        if (vm.wirePort() == vm.httpPort()) {
            throw new SettingsException(
                    "--http-port: '" + vm.httpPort() + "' is also --wire-port; two ports are needed");
        }
        return new SiteSettings(
                vm,
                values.get(LOG_FORMAT),
                values.get(LOG_LEVEL),
                values.get(DECISION_LINES).intValue());
    }
}
