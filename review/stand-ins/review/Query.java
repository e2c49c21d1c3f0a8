package review;

/** Reads fields of a query. */
public final class Query {
    private Query() {}

    public static long number(String path, String name) {
        int at = path.indexOf(name + "=");
        if (at < 0) {
            throw new IllegalArgumentException("no field " + name + " in " + path);
        }
        int end = path.indexOf('&', at);
        return Long.parseLong(path.substring(at + name.length() + 1, end < 0 ? path.length() : end));
    }
}
