import java.util.ArrayList;
import java.util.List;

/** Asks processes again and again whether they may act on a duty, and compares their answers. */
final class HolderWatch {

    /** One answer "done TERM": the process may act at some time between the two times. */
    private record Done(String term, long askedUs, long answeredUs) {}

    private final Kit kit;
    private final List<Asker> askers = new ArrayList<>();

    HolderWatch(Kit kit, String duty, List<Agent> candidates) {
        this.kit = kit;
        for (Agent candidate : candidates) {
            Asker asker = new Asker(candidate, "act " + duty);
            askers.add(asker);
            asker.start();
        }
    }

    void stop() {
        askers.forEach(asker -> asker.stopped = true);
    }

    /** Asks one agent every few milliseconds. */
    private static final class Asker extends Thread {
        private final Agent agent;
        private final String call;
        private final List<Done> done = new ArrayList<>();
        private volatile boolean stopped;

        Asker(Agent agent, String call) {
            this.agent = agent;
            this.call = call;
            setDaemon(true);
        }

        @Override
        public void run() {
            String last = "";
            while (!stopped) {
                long askedUs = Kit.nowUs();
                String answer = agent.ask(call);
                long answeredUs = Kit.nowUs();
                if (!answer.equals(last)) {
                    agent.kit.detail(
                            answeredUs, agent.label + " on '" + call + "': " + answer);
                    last = answer;
                }
                if (answer.startsWith("done ")) {
                    synchronized (done) {
                        done.add(new Done(answer.substring(5), askedUs, answeredUs));
                    }
                }
                try {
                    Thread.sleep(10);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        }

        private List<Done> all() {
            synchronized (done) {
                return List.copyOf(done);
            }
        }
    }

    /**
     * Returns whether at most one process acted at a time. Two act where one process answers with one
     * term both before the other is asked and after the other has answered: a process holds a term
     * without a break from the first such answer to the last.
     */
    boolean oneActed() {
        for (Asker one : askers) {
            for (Asker other : askers) {
                if (other != one && !oneActed(one, one.all(), other)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean oneActed(Asker one, List<Done> held, Asker other) {
        int first = 0;
        for (Done act : other.all()) {
            while (first < held.size() && held.get(first).answeredUs() <= act.askedUs()) {
                first++;
            }
            if (first == 0) {
                continue;
            }
            Done before = held.get(first - 1);
            for (int i = first; i < held.size(); i++) {
                Done after = held.get(i);
                if (!after.term().equals(before.term())) {
                    break;
                }
                if (after.askedUs() >= act.answeredUs()) {
                    kit.note(
                            String.format(
                                    "TWO ACT: %s 'done %s' asked at %.3f s, answered at %.3f s; %s"
                                            + " 'done %s' answered at %.3f s and asked again at"
                                            + " %.3f s",
                                    other.agent.label,
                                    act.term(),
                                    act.askedUs() / 1e6,
                                    act.answeredUs() / 1e6,
                                    one.agent.label,
                                    before.term(),
                                    before.answeredUs() / 1e6,
                                    after.askedUs() / 1e6));
                    return false;
                }
            }
        }
        return true;
    }
}
