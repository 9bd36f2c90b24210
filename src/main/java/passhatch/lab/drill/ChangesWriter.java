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
 * Makes changes at whichever replica leads, one after the other, and keeps those that it was told
 * are committed, with the time until each was in force at all subscribers that want it and are not
 * disturbed.
 */
final class ChangesWriter implements Runnable {

    private static final List<Setting> SETTINGS =
            List.of(Setting.DEADLINE_MS, Setting.MAX_CONNECTIONS, Setting.CALLS_PER_SECOND);
    private static final int MAX_VALUE = 60_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final long COMMIT_TIMEOUT_MS = 3_000;
    private static final long IN_FORCE_TIMEOUT_MS = 30_000;
    private static final String ACCEPTED = "accepted ";

    /** A change that is committed. */
    record Committed(long version, String value) {}

    private final ChangesTestbed testbed;
    private final Set<Integer> disturbed = ConcurrentHashMap.newKeySet();
    private final Map<String, Committed> committed = new TreeMap<>();
    private final List<Long> inForceMs = new ArrayList<>();
    private int submitted;
    private int unknownOutcomes;
    private volatile boolean stopped;

    ChangesWriter(ChangesTestbed testbed) {
        this.testbed = testbed;
    }

    /** Subscribers whose times do not count, as they are killed, held or cut off. */
    Set<Integer> disturbed() {
        return disturbed;
    }

    /** The newest committed change of each key; to be asked once it has ended. */
    Map<String, Committed> committed() {
        return committed;
    }

    /** How long each committed change took to be in force, from its submission. */
    List<Long> inForceMs() {
        return inForceMs;
    }

    /** Changes whose outcome is not known. */
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
                int leader = testbed.leader();
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
        String service = ChangesTestbed.SERVICES.get(submitted % ChangesTestbed.SERVICES.size());
        String key = "service/" + service + "/" + SETTINGS.get(submitted % SETTINGS.size()).label();
        String value = Integer.toString(submitted % MAX_VALUE + 1);
        submitted++;
        long startNs = System.nanoTime();
        String answer = testbed.agent(leader).ask("change-put " + key + " " + value).strip();
        if (!answer.startsWith(ACCEPTED)) {
            return;
        }
        String[] words = answer.split(" ");
        if (awaitCommitted(leader, words[1] + " " + words[2])) {
            long version = Long.parseLong(words[1]);
            committed.put(key, new Committed(version, value));
            awaitInForce(service, version);
            inForceMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
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
                                disturbed.contains(subscriber)
                                        || testbed.version(subscriber) >= version,
                        IN_FORCE_TIMEOUT_MS,
                        "version " + version + " is not in force at m" + subscriber);
            }
        }
    }
}
