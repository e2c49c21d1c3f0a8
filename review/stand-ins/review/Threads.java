package review;

/** Starts threads that don't keep the process from ending. */
public final class Threads {
    private Threads() {}

    public static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void join(Iterable<Thread> threads, long millis) {
        long end = System.currentTimeMillis() + millis;
        for (Thread thread : threads) {
            try {
                thread.join(Math.max(1, end - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
