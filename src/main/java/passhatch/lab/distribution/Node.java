package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DistributionActions;
import passhatch.distribution.DistributionSettings;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.Message;
import passhatch.distribution.Participant;

/** A simulated process and its disk. */
public final class Node implements DistributionActions {

    /** How the disk handles records when the process forces them to disk. */
    public enum DiskMode {
        /** The records are stored. */
        WORKING,
        /** The records are not stored, and the process is told of the failure. */
        FAILING,
        /** The records are not stored, but the process is told that they are. */
        LYING,
        /** The process is killed before it has stored the records. */
        CRASH_BEFORE,
        /** The process is killed after it has stored the records. */
        CRASH_AFTER
    }

    private final Simulation simulation;
    private final Location location;
    private final RandomGenerator random;
    private DistributionSettings settings;
    private List<DiskRecord> disk = new ArrayList<>();
    private DiskMode diskMode = DiskMode.WORKING;
    private Participant participant;
    private long pausedUntilUs;
    private long timerAtUs = Long.MAX_VALUE;
    private long busyNanos;
    private int timerGeneration;

    Node(
            Simulation simulation,
            Location location,
            DistributionSettings settings,
            RandomGenerator random) {
        this.simulation = simulation;
        this.location = location;
        this.settings = settings;
        this.random = random;
    }

    /** Returns this node's address, which is unique. */
    public String address() {
        return settings.self();
    }

    /** Returns this node's settings. */
    public DistributionSettings settings() {
        return settings;
    }

    /** Sets the settings that the process uses from its next start on. */
    public void setSettings(DistributionSettings settings) {
        this.settings = settings;
    }

    /** Returns this node's role. */
    public Role role() {
        return settings.role();
    }

    /** Returns this node's location. */
    public Location location() {
        return location;
    }

    /** Returns the records on this node's disk. */
    public List<DiskRecord> disk() {
        return disk;
    }

    /** Replaces the records on this node's disk. */
    public void setDisk(List<DiskRecord> records) {
        disk = new ArrayList<>(records);
    }

    /** Sets how this node's disk handles records from now on. */
    public void setDiskMode(DiskMode mode) {
        diskMode = mode;
    }

    /** Returns this node's state machine, or null while the process does not run. */
    public Participant participant() {
        return participant;
    }

    /** Returns whether the process runs. A paused process counts as running. */
    public boolean isUp() {
        return participant != null;
    }

    boolean isPaused() {
        return simulation.nowUs() < pausedUntilUs;
    }

    /** Returns the real time spent in calls to the state machine, in nanoseconds. */
    public long busyNanos() {
        return busyNanos;
    }

    /** Starts the process from the records on its disk. */
    public void start() {
        if (participant != null) {
            throw new IllegalStateException(address() + " runs already");
        }
        pausedUntilUs = 0;
        timerGeneration++;
        timerAtUs = Long.MAX_VALUE;
        try {
            participant =
                    new Participant(settings, List.copyOf(disk), simulation.nowUs(), random, this);
        } catch (SimulatedCrash crash) {
            kill();
            return;
        }
        simulation.observer().started(this);
        scheduleTimer();
    }

    /** Kills the process; the records on its disk remain. */
    public void kill() {
        participant = null;
        timerGeneration++;
        if (diskMode == DiskMode.CRASH_AFTER || diskMode == DiskMode.CRASH_BEFORE) {
            diskMode = DiskMode.WORKING;
        }
    }

    /**
     * Pauses the process for a time in microseconds. Datagrams and timers are delayed until the
     * pause ends.
     */
    public void pause(long durationUs) {
        pausedUntilUs = simulation.nowUs() + durationUs;
    }

    /**
     * Replaces the records on this node's disk with a snapshot of the process's state, if the
     * process runs and the disk works.
     */
    public void compact() {
        if (participant != null && diskMode == DiskMode.WORKING && !participant.diskFailed()) {
            disk = new ArrayList<>(participant.snapshotRecords());
        }
    }

    /** Runs an action on the state machine, if the process runs. */
    public void invoke(Consumer<Participant> action) {
        if (participant == null) {
            return;
        }
        long startNanos = System.nanoTime();
        try {
            action.accept(participant);
        } catch (SimulatedCrash crash) {
            kill();
            return;
        } finally {
            busyNanos += System.nanoTime() - startNanos;
        }
        scheduleTimer();
    }

    void receive(String from, Message message) {
        if (participant == null) {
            return;
        }
        if (isPaused()) {
            simulation.scheduleAt(pausedUntilUs, () -> receive(from, message));
            return;
        }
        invoke(p -> p.onMessage(simulation.nowUs(), from, message));
    }

    private void scheduleTimer() {
        long wakeAtUs = participant == null ? Long.MAX_VALUE : participant.wakeAtUs();
        if (wakeAtUs < timerAtUs) {
            int generation = timerGeneration;
            timerAtUs = Math.max(wakeAtUs, simulation.nowUs());
            long atUs = timerAtUs;
            simulation.scheduleAt(atUs, () -> onTimer(generation, atUs));
        }
    }

    private void onTimer(int generation, long atUs) {
        if (timerGeneration != generation || atUs != timerAtUs) {
            return;
        }
        timerAtUs = Long.MAX_VALUE;
        if (isPaused()) {
            timerAtUs = pausedUntilUs;
            simulation.scheduleAt(pausedUntilUs, () -> onTimer(generation, timerAtUs));
            return;
        }
        if (participant.wakeAtUs() > simulation.nowUs()) {
            scheduleTimer();
            return;
        }
        invoke(p -> p.timer(simulation.nowUs()));
    }

    @Override
    public void send(String peer, Message message) {
        simulation.send(this, peer, message);
    }

    @Override
    public boolean force(List<DiskRecord> records) {
        switch (diskMode) {
            case WORKING -> persist(records);
            case FAILING -> {
                return false;
            }
            case CRASH_BEFORE -> throw new SimulatedCrash();
            case CRASH_AFTER -> {
                persist(records);
                throw new SimulatedCrash();
            }
            case LYING -> {
                return true;
            }
        }
        return true;
    }

    private void persist(List<DiskRecord> records) {
        if (simulation.keepsDisks()) {
            disk.addAll(records);
        }
        simulation.observer().recordsForced(this, records);
    }

    @Override
    public void versionApplied(long epoch, long version) {
        simulation.observer().versionApplied(this, epoch, version);
    }

    @Override
    public void changeCommitted(long version) {
        simulation.observer().commitReported(this, version);
    }

    @Override
    public void leaderSteppedDown(long term, String reason) {
        simulation.steppedDown(this, term);
    }

    @Override
    public String toString() {
        return address();
    }
}
