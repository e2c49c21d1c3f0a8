package org.galenahinge.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.galenahinge.membership.Vm;

/**
 * Holds the checked settings of a slot process.
 *
 * @param site where the process stands and how it logs
 * @param upstream the one upstream beside this process
 * @param upstreamKind whether the upstream is a model engine or a plain service
 * @param upstreamChecksFencing whether the upstream refuses orders with an old fencing number
 * @param callsRepeatable whether the upstream's calls may be run more than once
 * @param store the weight store
 * @param origin the origin of weights
 * @param maximumConcurrent the most calls that run on the upstream at once
 * @param maximumQueued the most calls that wait for the upstream
 * @param weightsMemoryBytes the most memory for weights, in bytes
 * @param vmLinkBytesPerSecond the budget of the own VM's link for weights, each way, in bytes a second
 * @param originLinkBytesPerSecond the budget of the origin's link for one VM, in bytes a second
 * @param regionLinkBytesPerSecond the budget of the links between regions that all VMs of the own region share, each
 *     way, in bytes a second
 * @param originCopies how many copies of each chunk a group may draw from the origin
 */
public record SlotSettings(
        SiteSettings site,
        URI upstream,
        UpstreamKind upstreamKind,
        boolean upstreamChecksFencing,
        boolean callsRepeatable,
        URI store,
        URI origin,
        int maximumConcurrent,
        int maximumQueued,
        long weightsMemoryBytes,
        long vmLinkBytesPerSecond,
        long originLinkBytesPerSecond,
        long regionLinkBytesPerSecond,
        int originCopies) {
    private static final long MAXIMUM_MEMORY = 1L << 40;
    private static final long MAXIMUM_RATE = 100_000_000_000L;
    private static final Setting<URI> UPSTREAM = Setting.httpAddress("upstream", "upstream beside this process");
    private static final Setting<String> UPSTREAM_KIND =
            Setting.choice("upstream-kind", "what the upstream is", null, "model", "service");
    private static final Setting<Boolean> CHECKS_FENCING = Setting.flag(
            "upstream-checks-fencing", "whether the upstream refuses orders with an old fencing number", null);
    private static final Setting<Boolean> REPEATABLE =
            Setting.flag("calls-repeatable", "whether the upstream's calls may be run more than once", null);
    private static final Setting<URI> STORE = Setting.httpAddress("store", "weight store");
    private static final Setting<URI> ORIGIN = Setting.httpAddress("origin", "origin of weights");
    private static final Setting<Long> CONCURRENT =
            Setting.number("maximum-concurrent", "most calls on the upstream at once", 1, 100_000, 32L);
    private static final Setting<Long> QUEUED =
            Setting.number("maximum-queued", "most calls waiting for the upstream", 0, 100_000, 64L);
    private static final Setting<Long> WEIGHTS_MEMORY = Setting.number(
            "weights-memory-bytes", "most memory for weights, in bytes", 1 << 20, MAXIMUM_MEMORY, 1L << 30);
    private static final Setting<Long> VM_LINK = Setting.number(
            "vm-link-rate",
            "budget of the own VM's link for weights, each way, in bytes a second",
            1_024,
            MAXIMUM_RATE,
            125_000_000L);
    private static final Setting<Long> ORIGIN_LINK = Setting.number(
            "origin-link-rate",
            "budget of this VM on the origin's link, in bytes a second",
            1_024,
            MAXIMUM_RATE,
            125_000_000L);
    private static final Setting<Long> REGION_LINK = Setting.number(
            "region-link-rate",
            "budget of the links to other regions, shared by the VMs of the region, in bytes a second",
            1_024,
            MAXIMUM_RATE,
            1_875_000L);
    private static final Setting<Long> ORIGIN_COPIES = Setting.number(
            "origin-copies",
            "copies of each chunk that a group may draw from the origin: 1 spares its link, more can save time",
            1,
            16,
            1L);

    /** What an upstream is. */
    public enum UpstreamKind {
        /** A model engine. */
        MODEL,
        /** A plain service. */
        SERVICE
    }

    /**
     * Returns the reader for these settings, which also gives the help text.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        List<Setting<?>> settings = new ArrayList<>(SiteSettings.ALL);
        settings.addAll(List.of(
                UPSTREAM,
                UPSTREAM_KIND,
                CHECKS_FENCING,
                REPEATABLE,
                STORE,
                ORIGIN,
                CONCURRENT,
                QUEUED,
                WEIGHTS_MEMORY,
                VM_LINK,
                ORIGIN_LINK,
                REGION_LINK,
                ORIGIN_COPIES));
        return SettingsReader.of(
                "galenahinged slot", "Stands before the one upstream of a VM: admission, orders, weights.", settings);
    }

    /**
     * Reads and checks the settings.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the checked settings
     * @throws SettingsException naming the setting that is wrong
     */
    public static SlotSettings read(List<String> arguments, Map<String, String> environment) {
        SettingsReader.Values values = reader().read(arguments, environment);
        return new SlotSettings(
                SiteSettings.from(values, Vm.Kind.UPSTREAM),
                values.get(UPSTREAM),
                values.get(UPSTREAM_KIND).equals("model") ? UpstreamKind.MODEL : UpstreamKind.SERVICE,
                values.get(CHECKS_FENCING),
                values.get(REPEATABLE),
                values.get(STORE),
                values.get(ORIGIN),
                values.get(CONCURRENT).intValue(),
                values.get(QUEUED).intValue(),
                values.get(WEIGHTS_MEMORY),
                values.get(VM_LINK),
                values.get(ORIGIN_LINK),
                values.get(REGION_LINK),
                values.get(ORIGIN_COPIES).intValue());
    }
}
