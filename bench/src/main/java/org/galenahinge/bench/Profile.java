package org.galenahinge.bench;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The fleets of two firms, as the demonstration and the experiments build them. */
public enum Profile {
    /** Optimises the time until N replicas are ready: downloads up to two copies from the origin. */
    KHUKURI("khukuri", List.of("bagmati", "gandaki", "koshi"), 2, "inlay"),
    /** Optimises the bytes sent by the origin: downloads one copy from it. */
    BLUE_MAHOE("blue-mahoe", List.of("kingston", "montego", "mandeville"), 1, "verses");

    private final String label;
    private final ImmutableList<String> regions;
    private final int originCopies;
    private final String model;

    Profile(String label, List<String> regions, int originCopies, String model) {
        this.label = label;
        this.regions = ImmutableList.copyOf(regions);
        this.originCopies = originCopies;
        this.model = model;
    }

    /**
     * Returns the name of the profile on command lines.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Returns the regions.
     *
     * @return the names of the regions
     */
    public List<String> regions() {
        return regions;
    }

    /**
     * Returns how many copies of a chunk may be downloaded from the origin.
     *
     * @return the count
     */
    public int originCopies() {
        return originCopies;
    }

    /**
     * Returns the model that the fleet serves.
     *
     * @return the name
     */
    public String model() {
        return model;
    }

    /**
     * Finds a profile by its label.
     *
     * @param label its label
     * @return the profile
     * @throws IllegalArgumentException if there is no such profile
     */
    public static Profile of(String label) {
        for (Profile profile : values()) {
            if (profile.label.equals(label)) {
                return profile;
            }
        }
        throw new IllegalArgumentException("--profile: '" + label + "' is not khukuri or blue-mahoe");
    }
}
