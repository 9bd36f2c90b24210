package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import passhatch.distribution.Setting;

/**
 * Submits changes to the leading replica, one after another. The writer records each change that is
 * reported as committed, and the time until all undisturbed subscribers of the change's service
 * have applied the change.
 */
final class ChangesWriter implements Runnable {

    private static final List<Setting> SETTINGS =
            List.of(Setting.DEADLINE_MS, Setting.MAX_CONNECTIONS, Setting.CALLS_PER_SECOND);
    private static final int MAX_VALUE = 60_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final long COMMIT_TIMEOUT_MS = 3_000;
    private static final long IN_FORCE_TIMEOUT_MS = 30_000;
    private static final String ACCEPTED_PREFIX = "accepted ";

    /** The version and the new value of a committed change. */
    record Committed(long version, String value) {}

    private final ChangesTestbed testbed;
    private final Set<Integer> disturbedSubscribers = ConcurrentHashMap.newKeySet();
    private final Map<String, Committed> committedChanges = new TreeMap<>();
    private final List<Long> inForceDelaysMs = new ArrayList<>();
    private int submittedCount;
    private int unknownOutcomes;
    private volatile boolean stopped;

    ChangesWriter(ChangesTestbed testbed) {
        this.testbed = testbed;
    }

    /**
     * Returns the indices of the subscribers that the writer does not wait for, because they are
     * killed, stopped or partitioned. The caller adds indices to this set and removes them again.
     */
    Set<Integer> disturbedSubscribers() {
        return disturbedSubscribers;
    }

    /**
     * Returns the newest committed change of each key. Call this only after the writer has ended.
     */
    Map<String, Committed> committedChanges() {
        return committedChanges;
    }

    /**
     * Returns, for each committed change, the time in milliseconds from its submission until all
     * undisturbed subscribers of its service had applied it.
     */
    List<Long> inForceDelaysMs() {
        return inForceDelaysMs;
    }

    /**
     * Returns the number of changes that the leader accepted but did not report as committed in
     * time.
     */
    int unknownOutcomes() {
        return unknownOutcomes;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                int leader = testbed.leaderIndex();
                if (leader >= 0) {
                    submitChange(leader);
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void submitChange(int leader) throws InterruptedException {
        String service =
                ChangesTestbed.SERVICES.get(submittedCount % ChangesTestbed.SERVICES.size());
        String key =
                "service/" + service + "/" + SETTINGS.get(submittedCount % SETTINGS.size()).label();
        String value = Integer.toString(submittedCount % MAX_VALUE + 1);
        submittedCount++;
        long startNs = System.nanoTime();
        String answer = testbed.agent(leader).ask("change-put " + key + " " + value).strip();
        if (!answer.startsWith(ACCEPTED_PREFIX)) {
            return;
        }
        String[] words = answer.split(" ");
        if (awaitCommitted(leader, words[1] + " " + words[2])) {
            long version = Long.parseLong(words[1]);
            committedChanges.put(key, new Committed(version, value));
            awaitInForce(service, version);
            inForceDelaysMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
        } else {
            unknownOutcomes++;
        }
    }

    private boolean awaitCommitted(int leader, String change) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMIT_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs) {
            String answer = testbed.agent(leader).ask("change-status " + change).strip();
            if (!answer.equals("pending")) {
                return answer.equals("committed");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }

    private void awaitInForce(String service, long version) throws InterruptedException {
        for (int subscriber : testbed.subscribers()) {
            if (ChangesTestbed.serviceOf(subscriber).equals(service)) {
                ChangesTestbed.await(
                        () ->
                                disturbedSubscribers.contains(subscriber)
                                        || testbed.versionInForce(subscriber) >= version,
                        IN_FORCE_TIMEOUT_MS,
                        "version " + version + " is not in force at m" + subscriber);
            }
        }
    }
}
