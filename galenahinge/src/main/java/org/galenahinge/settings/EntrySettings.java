package org.galenahinge.settings;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.galenahinge.membership.Vm;

/**
 * Holds the checked settings of an entry.
 *
 * @param site where the process stands and how it logs
 * @param configurationService where tickets are read
 * @param vmList where the VM list is read
 * @param maximumRequests the most requests held at once
 * @param maximumBodyBytes the largest request body, in bytes
 * @param requestTimeout how long a request may take when the caller does not say
 * @param drainTimeout how long a planned stop waits for requests in progress before it says so again
 * @param entryLifetime how long a caller may keep the answer to which entry to use
 * @param routeByPrefix whether drafts with the same prompt prefix go to the same replica while its load allows
 */
public record EntrySettings(
        SiteSettings site,
        URI configurationService,
        URI vmList,
        int maximumRequests,
        int maximumBodyBytes,
        Duration requestTimeout,
        Duration drainTimeout,
        Duration entryLifetime,
        boolean routeByPrefix) {
    private static final Setting<URI> CONFIGURATION =
            Setting.httpAddress("configuration-service", "configuration service, where tickets are read");
    private static final Setting<URI> VM_LIST = Setting.httpAddress("vm-list", "platform's list of VMs");
    private static final Setting<Long> MAXIMUM_REQUESTS =
            Setting.number("maximum-requests", "most requests held at once", 1, 1_000_000, 4_000L);
    private static final Setting<Long> MAXIMUM_BODY =
            Setting.number("maximum-body-bytes", "largest request body, in bytes", 1_024, 4 << 20, 1L << 20);
    private static final Setting<Long> REQUEST_TIMEOUT =
            Setting.number("request-timeout-seconds", "longest time for a request, in seconds", 1, 3_600, 120L);
    private static final Setting<Long> DRAIN_TIMEOUT = Setting.number(
            "drain-report-seconds", "how often a planned stop reports what it waits for, in seconds", 1, 3_600, 10L);
    private static final Setting<Long> ENTRY_LIFETIME = Setting.number(
            "entry-lifetime-seconds", "how long callers may keep the list of entries, in seconds", 1, 600, 15L);

    private static final Setting<String> DRAFT_ROUTING =
            Setting.choice("draft-routing", "how drafts are routed", "prefix", "prefix", "least-loaded");

    /**
     * Returns the reader for these settings, which also gives the help text.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        List<Setting<?>> settings = new ArrayList<>(SiteSettings.ALL);
        settings.addAll(List.of(
                CONFIGURATION,
                VM_LIST,
                MAXIMUM_REQUESTS,
                MAXIMUM_BODY,
                REQUEST_TIMEOUT,
                DRAIN_TIMEOUT,
                ENTRY_LIFETIME,
                DRAFT_ROUTING));
        return SettingsReader.of(
                "galenahinged entry", "Serves callers and operators on an entry VM and routes requests.", settings);
    }

    /**
     * Reads and checks the settings.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the checked settings
     * @throws SettingsException naming the setting that is wrong
     */
    public static EntrySettings read(List<String> arguments, Map<String, String> environment) {
        SettingsReader.Values values = reader().read(arguments, environment);
        return new EntrySettings(
                SiteSettings.from(values, Vm.Kind.ENTRY),
                values.get(CONFIGURATION),
                values.get(VM_LIST),
                values.get(MAXIMUM_REQUESTS).intValue(),
                values.get(MAXIMUM_BODY).intValue(),
                Duration.ofSeconds(values.get(REQUEST_TIMEOUT)),
                Duration.ofSeconds(values.get(DRAIN_TIMEOUT)),
                Duration.ofSeconds(values.get(ENTRY_LIFETIME)),
                values.get(DRAFT_ROUTING).equals("prefix"));
    }
}
