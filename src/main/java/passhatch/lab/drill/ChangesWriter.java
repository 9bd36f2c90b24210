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
    private static final int MOST_VALUE = 60_000;
    private static final long POLL_MS = 10;
    private static final long COMMITTED_WITHIN_MS = 3_000;
    private static final long IN_FORCE_WITHIN_MS = 30_000;
    private static final String ACCEPTED = "accepted ";

    /** A change that is committed. */
    record Committed(long version, String value) {}

    private final ChangesField field;
    private final Set<Integer> disturbed = ConcurrentHashMap.newKeySet();
    private final Map<String, Committed> committed = new TreeMap<>();
    private final List<Long> inForceMs = new ArrayList<>();
    private int changes;
    private int unknown;
    private volatile boolean over;

    ChangesWriter(ChangesField field) {
        this.field = field;
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
    int unknown() {
        return unknown;
    }

    void end() {
        over = true;
    }

    @Override
    public void run() {
        try {
            while (!over) {
                int leader = field.leader();
                if (leader >= 0) {
                    change(leader);
                }
                Thread.sleep(POLL_MS);
            }
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private void change(int leader) throws InterruptedException {
        String service = ChangesField.SERVICES.get(changes % ChangesField.SERVICES.size());
        String key = "service/" + service + "/" + SETTINGS.get(changes % SETTINGS.size()).label();
        String value = Integer.toString(changes % MOST_VALUE + 1);
        changes++;
        long beganNs = System.nanoTime();
        String answer = field.agent(leader).ask("change-put " + key + " " + value).strip();
        if (!answer.startsWith(ACCEPTED)) {
            return;
        }
        String[] words = answer.split(" ");
        if (isCommitted(leader, words[1] + " " + words[2])) {
            long version = Long.parseLong(words[1]);
            committed.put(key, new Committed(version, value));
            awaitInForce(service, version);
            inForceMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs));
        } else {
            unknown++;
        }
    }

    private boolean isCommitted(int leader, String change) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMITTED_WITHIN_MS);
        while (System.nanoTime() < end) {
            String answer = field.agent(leader).ask("change-status " + change).strip();
            if (!answer.equals("pending")) {
                return answer.equals("committed");
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    private void awaitInForce(String service, long version) throws InterruptedException {
        for (int subscriber : field.subscribers()) {
            if (ChangesField.service(subscriber).equals(service)) {
                ChangesField.await(
                        () ->
                                disturbed.contains(subscriber)
                                        || field.version(subscriber) >= version,
                        IN_FORCE_WITHIN_MS,
                        "version " + version + " is not in force at m" + subscriber);
            }
        }
    }
}
