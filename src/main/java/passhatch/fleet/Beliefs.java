package passhatch.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Which statement about a member holds: the newer one, by {@link Fact#overrules}; what is said of
 * this process itself is refuted. Owns the view and the times after which suspects have failed
 * (SWIM with Lifeguard's suspicion: the more have found it silent independently, the shorter it may
 * stay silent).
 */
final class Beliefs {

    /** The shortest suspicion: so many periods times the logarithm of the fleet's size. */
    private static final double SHORTEST = 2;

    /** The longest one, beside the shortest. */
    private static final double LONGEST = 6;

    /** Accusers after the first, with whom it is shortest. */
    private static final int CONFIRMATIONS = Fact.MOST_ACCUSERS - 1;

    /** As if as many as count had accused. */
    private static final List<Integer> ALL_ACCUSERS =
            IntStream.range(0, Fact.MOST_ACCUSERS).boxed().toList();

    /**
     * Suspects are looked at so often, as a share of a period: their times change with all that is
     * heard.
     */
    private static final double LOOK_EVERY = 0.2;

    /** Two processes that claim one name are told of so often at most. */
    private static final long NOTE_EVERY_US = 10_000_000;

    private final Self self;
    private final View view;
    private final Outbox outbox;
    private final LocalHealth health;
    private final FleetActions actions;
    private final Consumer<Member> rumour;
    private final long periodUs;
    private long lookedUs;
    private long notedUs = Long.MIN_VALUE / 2;

    /** {@code rumour} hears of a member that others have found silent. */
    Beliefs(
            FleetSettings settings,
            Self self,
            View view,
            Outbox outbox,
            LocalHealth health,
            FleetActions actions,
            Consumer<Member> rumour) {
        this.self = self;
        this.view = view;
        this.outbox = outbox;
        this.health = health;
        this.actions = actions;
        this.rumour = rumour;
        this.periodUs = settings.periodUs();
    }

    /** Believes a statement, or not. */
    void hear(long nowUs, Fact told) {
        boolean own = told.name().equals(self.name());
        if (own && !self.givenWay()) {
            ofSelf(nowUs, told);
            return;
        }
        Member member = view.get(told.name());
        if (member == null) {
            ofUnknown(nowUs, told);
            return;
        }
        Fact known = member.fact();
        if (told.overrules(known)) {
            // That others took it for failed is hearsay where it was heard of as alive: it may have
            // missed
            // the accusation, as across a partition that has healed, so it gets the time to refute.
            boolean hearsay =
                    told.status() == Status.FAILED && known.status() == Status.ALIVE && !own;
            member = set(nowUs, member, hearsay ? suspicion(told, ALL_ACCUSERS) : told);
            if (member.status() == Status.SUSPECT) {
                rumour.accept(member);
            }
        } else if (told.incarnation().equals(known.incarnation())) {
            if (told.status() == Status.SUSPECT && known.status() == Status.SUSPECT) {
                confirm(nowUs, member, told.accusers());
            } else if (told.status() == Status.ALIVE
                    && known.status() == Status.ALIVE
                    && known.version().isEmpty()
                    && !told.version().isEmpty()) {
                member = view.change(member, told, nowUs);
            }
        }
        if (own) {
            takeBack(nowUs, member);
        }
    }

    private void ofUnknown(long nowUs, Fact told) {
        Fact last = view.lastWord(told.name());
        if (last != null && !told.overrules(last)) {
            if (told.status().present()) {
                outbox.news().add(last);
            }
            return;
        }
        Member member = view.add(told, nowUs);
        if (member != null) {
            outbox.news().add(told);
            actions.changed(null, member.info());
        }
    }

    private void ofSelf(long nowUs, Fact told) {
        Incarnation mine = self.incarnation();
        int newer = told.incarnation().compareTo(mine);
        if (told.incarnation().sameLife(mine)) {
            boolean wrong = told.status() != (self.leaving() ? Status.LEFT : Status.ALIVE);
            if (!self.leaving() && newer >= 0 && (wrong || newer > 0)) {
                if (told.status() == Status.SUSPECT || told.status() == Status.FAILED) {
                    health.worse(1);
                }
                claim(
                        nowUs,
                        new Incarnation(
                                mine.epoch(), mine.life(), told.incarnation().refutation() + 1));
            }
        } else if (newer > 0 && !self.leaving()) {
            if (told.status().present()) {
                self.givenWay(true);
                actions.note(
                        "another process is "
                                + self.name()
                                + " with the newer incarnation "
                                + told.incarnation()
                                + ", so this one ("
                                + mine
                                + ") gives way");
                set(nowUs, view.get(self.name()), told);
            } else {
                // An earlier run of this process whose epoch was lost, as on a machine set back to
                // a
                // snapshot.
                takeOver(nowUs, told);
            }
        } else if (told.status() == Status.ALIVE) {
            // An earlier run, or another process that is told in this way to give way.
            outbox.news().add(self.fact());
        }
    }

    /** Another process says that it has this one's name, with an older incarnation. */
    void rival(long nowUs, Fact sender, int address) {
        if (nowUs - notedUs >= NOTE_EVERY_US) {
            notedUs = nowUs;
            actions.note(
                    "another process, at address "
                            + address
                            + " of the list, is "
                            + sender.name()
                            + " with the older incarnation "
                            + sender.incarnation()
                            + ", and has to give way");
        }
    }

    private void takeBack(long nowUs, Member own) {
        if (!own.status().present()) {
            takeOver(nowUs, own.fact());
        }
    }

    /** Becomes newer than the run that has ended. */
    private void takeOver(long nowUs, Fact ended) {
        long epoch = ended.incarnation().epoch() + 1;
        if (actions.claim(epoch)) {
            self.givenWay(false);
            claim(nowUs, new Incarnation(epoch, self.incarnation().life(), 0));
            actions.note(
                    "an earlier run of "
                            + self.name()
                            + " ("
                            + ended.incarnation()
                            + ") was still known, so this one goes on as "
                            + self.incarnation());
        }
    }

    private void claim(long nowUs, Incarnation incarnation) {
        self.incarnation(incarnation);
        set(nowUs, view.get(self.name()), self.fact());
    }

    /** A member did not answer this process. */
    void accuse(long nowUs, Member member) {
        List<Integer> accuser = List.of(shortHash(self.name()));
        if (member.status() == Status.ALIVE) {
            set(nowUs, member, suspicion(member.fact(), accuser));
        } else if (member.status() == Status.SUSPECT) {
            confirm(nowUs, member, accuser);
        }
    }

    private void confirm(long nowUs, Member member, List<Integer> accusers) {
        List<Integer> all = new ArrayList<>(member.fact().accusers());
        for (Integer accuser : accusers) {
            if (!all.contains(accuser) && all.size() < Fact.MOST_ACCUSERS) {
                all.add(accuser);
            }
        }
        if (all.size() > member.fact().accusers().size()) {
            Fact more = suspicion(member.fact(), all);
            view.change(member, more, nowUs);
            outbox.news().add(more);
        }
    }

    private static Fact suspicion(Fact of, List<Integer> accusers) {
        return new Fact(Status.SUSPECT, of.name(), of.incarnation(), of.number(), "", "", accusers);
    }

    private static int shortHash(String name) {
        return (short) Names.hash(name);
    }

    private Member set(long nowUs, Member member, Fact fact) {
        Member changed = view.change(member, fact, nowUs);
        outbox.news().add(fact);
        actions.changed(member.status(), changed.info());
        return changed;
    }

    /** Those whose time to refute is over have failed. */
    void expire(long nowUs) {
        if (nowUs < nextUs()) {
            return;
        }
        lookedUs = nowUs;
        for (Member member : view.suspects()) {
            if (nowUs >= deadlineUs(member)) {
                Member failed = set(nowUs, member, failure(member.fact()));
                if (member.name().equals(self.name())) {
                    takeBack(nowUs, failed);
                }
            }
        }
    }

    private static Fact failure(Fact of) {
        return Fact.of(Status.FAILED, of.name(), of.incarnation(), of.number());
    }

    /** When suspects are looked at next; {@link Long#MAX_VALUE} where there are none. */
    long nextUs() {
        return view.hasSuspects() ? lookedUs + (long) (LOOK_EVERY * periodUs) : Long.MAX_VALUE;
    }

    private long deadlineUs(Member suspect) {
        int present = Math.max(2, view.present());
        double shortest = SHORTEST * periodUs * Math.max(1, Math.log10(present));
        double longest = LONGEST * shortest;
        int wanted = Math.min(CONFIRMATIONS, present - 2);
        int confirmed = Math.min(wanted, suspect.fact().accusers().size() - 1);
        double part = wanted <= 0 ? 1 : Math.log(confirmed + 1) / Math.log(wanted + 1);
        double us = longest - (longest - shortest) * part;
        return suspect.sinceUs() + (long) (us * health.factor());
    }

    /** Time in which this process was held up is no time in which others had a chance. */
    void heldUp(long byUs) {
        view.delaySuspects(byUs);
    }

    /** Drops those from sight that failed or left long ago. */
    void forget(long nowUs, long afterUs) {
        view.forgetAbsentBefore(nowUs - afterUs);
    }
}
