package org.galenahinge.bench;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The two firms' fleets, as the demonstration and the experiments build them. */
public enum Profile {
    /** Weighs time to N replicas: draws up to two copies from the origin. */
    KHUKURI("khukuri", List.of("bagmati", "gandaki", "koshi"), 2, "inlay"),
    /** Weighs origin bytes: draws one copy from the origin. */
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
     * Returns the name on command lines.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Returns the regions.
     *
     * @return the names
     */
    public List<String> regions() {
        return regions;
    }

    /**
     * Returns how many copies of a chunk may be drawn from the origin.
     *
     * @return the count
     */
    public int originCopies() {
        return originCopies;
    }

    /**
     * Returns the model that it serves.
     *
     * @return the name
     */
    public String model() {
        return model;
    }

    /**
     * Finds a profile.
     *
     * @param label its label
     * @return the profile
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
