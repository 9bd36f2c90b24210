package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Acts on a duty as they were seen from outside, and whether two processes had it: of two acts of
 * which one ended before the other began, the later must not have the lesser term, and one term is
 * one process's.
 */
final class ActLog {

    /** A process was asked whether it may act, and some time between the two times it was so. */
    record Act(int process, long term, long beganNs, long endedNs) {}

    private final List<Act> acts = new ArrayList<>();

    synchronized void add(Act act) {
        acts.add(act);
    }

    synchronized List<Act> all() {
        return List.copyOf(acts);
    }

    /** What must not be; empty where all is well. */
    synchronized List<String> faults() {
        List<String> faults = new ArrayList<>();
        List<Act> byEnd = new ArrayList<>(acts);
        byEnd.sort(Comparator.comparingLong(Act::endedNs));
        List<Act> byBegin = new ArrayList<>(acts);
        byBegin.sort(Comparator.comparingLong(Act::beganNs));
        int ended = 0;
        Act newest = null;
        for (Act act : byBegin) {
            while (ended < byEnd.size() && byEnd.get(ended).endedNs() < act.beganNs()) {
                Act before = byEnd.get(ended++);
                newest = newest == null || before.term() >= newest.term() ? before : newest;
            }
            if (newest != null
                    && (act.term() < newest.term()
                            || act.term() == newest.term() && act.process() != newest.process())) {
                faults.add(act + " after " + newest);
            }
        }
        return faults;
    }
}
