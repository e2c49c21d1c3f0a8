package review;

import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
public final class CaseMain {
    private static final int BROKEN = 1;
    private static final int HELD = 0;
    private static final int COULD_NOT_RUN = 2;

    private CaseMain() {}

    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean isBroken(CaseRecord record) throws Exception;
    }

    /**
     * Runs a case.
     *
     * @param arguments the number of the case and its folder
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments[0], Path.of(arguments[1])));
    }

    private static int run(String name, Path folder) {
        try (CaseRecord record = new CaseRecord(folder)) {
            record.show(CaseRecord.hasTrouble() ? "with the disruption" : "without the disruption");
            boolean broken = named(name).isBroken(record);
            record.show(broken ? "the rule was broken" : "the rule held");
            return broken ? BROKEN : HELD;
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            e.printStackTrace();
            return COULD_NOT_RUN;
        }
    }

    private static Case named(String name) {
        return switch (name) {
            case "6" -> new SharedPromptAfterCrash();
            case "7" -> new RaisedHeaderLimit();
            case "8" -> new CrashingRequestAfterKill();
            case "9" -> new ZeroServerLimit();
            case "10" -> new CrashAfterFirstEvent();
            default -> throw new IllegalArgumentException("there is no case " + name);
        };
    }
}
