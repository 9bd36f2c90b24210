package passhatch.agent;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import passhatch.agent.config.InvalidInputException;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DistributionActions;
import passhatch.distribution.DistributionSettings;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.distribution.Message;
import passhatch.distribution.MessageCodec;
import passhatch.distribution.Participant;
import passhatch.fleet.DropReason;
import passhatch.proxy.base.Addresses;
import passhatch.store.StoreException;

/**
 * Runs this machine's participant in the distribution of configuration changes on the agent's event
 * loop. The participant has a UDP socket and a store that nothing else uses. A replica is the
 * leader while its process holds the duty {@link ChangesConfig#DUTY}.
 */
final class ChangesNode implements DistributionActions, DutyListener {

    private static final Logger LOG = LoggerFactory.getLogger(ChangesNode.class);

    private static final int MAX_DATAGRAMS_PER_READ = 256;

    /**
     * Delay after a change until the values are published, so that changes within this time are
     * published together.
     */
    private static final long PUBLISH_DELAY_MS = 50;

    private final EventLoop loop;
    private final ChangesConfig config;
    private final AgentConfig.Fleet fleet;
    private final ValuesFile valuesFile;
    private final SubmittedChanges submittedChanges = new SubmittedChanges();
    private final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);

    /**
     * The store of the participant's records. Null before {@link #start} and after {@link #close},
     * and in a follower whose store could not be opened.
     */
    private ChangesStore store;

    private Participant participant;
    private Channel socket;
    private Runnable giveUpDuty = () -> {};
    private ScheduledFuture<?> timer;
    private long timerAtUs;
    private boolean publishScheduled;

    ChangesNode(EventLoop loop, ChangesConfig config, AgentConfig.Fleet fleet) {
        this.loop = loop;
        this.config = config;
        this.fleet = fleet;
        this.valuesFile = config.publish() == null ? null : new ValuesFile(config.publish());
    }

    /**
     * Reads the records on disk, binds the socket and starts the participant. Must not be called on
     * a thread of the loop.
     *
     * @param folder folder of the records
     * @throws IOException if the address cannot be used
     * @throws StoreException if a replica's store cannot be used
     * @throws InvalidInputException if the disk has a higher epoch than the configuration
     */
    void start(Path folder, RandomGenerator random)
            throws IOException, StoreException, InterruptedException {
        openStore(folder);
        List<DiskRecord> records = store == null ? List.of() : store.takeRecords();
        Channel bound =
                DatagramListener.bind(
                        loop, config.listen(), new Receiver(), MAX_DATAGRAMS_PER_READ);
        try {
            loop.submit(() -> startParticipant(bound, records, random)).sync();
        } catch (IllegalArgumentException higherEpoch) {
            throw new InvalidInputException("changes.epoch: " + higherEpoch.getMessage());
        }
    }

    private void openStore(Path folder) throws IOException, StoreException {
        try {
            store = ChangesStore.open(folder, fleet.self(), config.role(), config.services());
            store.warnings()
                    .forEach(warning -> LOG.atWarn().addKeyValue("event", "store").log(warning));
        } catch (IOException | StoreException failed) {
            if (config.role() == Role.REPLICA) {
                throw failed;
            }
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("changes are kept in memory only: {}", failed.getMessage());
        }
    }

    private void startParticipant(
            Channel channel, List<DiskRecord> records, RandomGenerator random) {
        DistributionSettings settings =
                new DistributionSettings(
                        fleet.self(),
                        config.role(),
                        config.epoch(),
                        MembersText.format(config.listen()),
                        config.replicas(),
                        config.sources(),
                        config.services());
        socket = channel;
        participant = new Participant(settings, records, FleetNode.nowUs(), random, this);
        schedulePublish();
        compactAndSchedule();
    }

    /**
     * Sets the action to run when this replica can no longer be the leader. The action must give up
     * the duty {@link ChangesConfig#DUTY}.
     */
    void onStepDown(Runnable action) {
        giveUpDuty = action;
    }

    /** Returns the state machine of the participant. It must be used only on the event loop. */
    Participant participant() {
        return participant;
    }

    Role role() {
        return config.role();
    }

    /** Returns the tracker of the changes submitted at this process. */
    SubmittedChanges submittedChanges() {
        return submittedChanges;
    }

    /** Returns the number of datagrams dropped on receipt, by reason. */
    Map<DropReason, Long> dropped() {
        return Collections.unmodifiableMap(dropped);
    }

    /** Submits a change to the participant; see {@link Participant#submit}. */
    long submit(String key, String value, long ifVersion) throws InvalidChangeException {
        try {
            return participant.submit(FleetNode.nowUs(), key, value, ifVersion);
        } finally {
            compactAndSchedule();
        }
    }

    /**
     * Makes this replica count towards majorities although its disk is empty; see {@link
     * Participant#initialize}.
     */
    boolean initialize() {
        return participant.initialize();
    }

    /** Closes the store. This process confirms no further records afterwards. */
    void close() throws StoreException {
        if (store != null) {
            store.close();
            store = null;
        }
    }

    private void compactAndSchedule() {
        compactLog();
        scheduleTimer();
    }

    private void compactLog() {
        if (store == null || participant.diskFailed() || !store.isSnapshotDue()) {
            return;
        }
        try {
            store.snapshot(participant.snapshotRecords());
        } catch (StoreException failed) {
            // The participant learns of the failure at its next write, which fails as well.
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("changes: the log cannot be compacted: {}", failed.getMessage());
        }
    }

    private void scheduleTimer() {
        long wakeUs = participant.wakeAtUs();
        if (timer != null && timerAtUs <= wakeUs && !timer.isDone()) {
            return; // The pending timer runs early enough and schedules the next one.
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtUs = wakeUs;
        timer =
                loop.schedule(
                        this::runTimer,
                        Math.max(0, wakeUs - FleetNode.nowUs()),
                        TimeUnit.MICROSECONDS);
    }

    private void runTimer() {
        timer = null;
        try {
            if (participant.wakeAtUs() <= FleetNode.nowUs()) {
                participant.timer(FleetNode.nowUs());
            }
        } finally {
            compactAndSchedule();
        }
    }

    private void receive(String from, byte[] bytes) {
        MessageCodec.Read read = MessageCodec.decode(fleet.name(), bytes);
        if (read.dropReason() != null) {
            dropped.merge(read.dropReason(), 1L, Long::sum);
        } else if (isUnknownSender(from, read.message())) {
            dropped.merge(DropReason.STRANGER, 1L, Long::sum);
        } else {
            participant.onMessage(FleetNode.nowUs(), from, read.message());
        }
    }

    private boolean isUnknownSender(String from, Message message) {
        if (message instanceof Message.Poll || message instanceof Message.Ack) {
            return false; // Any member of the fleet may follow this node.
        }
        return !config.replicas().contains(from) && !config.sources().contains(from);
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (participant != null) {
                receive(
                        MembersText.format(packet.sender()),
                        ByteBufUtil.getBytes(packet.content()));
                scheduleTimer();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (participant != null) {
                compactAndSchedule();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atWarn().addKeyValue("event", "socket").log("changes socket: {}", cause.toString());
        }
    }

    private void schedulePublish() {
        if (valuesFile == null || publishScheduled) {
            return;
        }
        publishScheduled = true;
        loop.schedule(
                () -> {
                    publishScheduled = false;
                    valuesFile.replace(
                            participant.epoch(), participant.version(), participant.values());
                },
                PUBLISH_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void dutyGranted(long term) {
        submittedChanges.beginTerm(term);
        participant.leaseGranted(FleetNode.nowUs(), term);
        compactAndSchedule();
    }

    @Override
    public void dutyLost(long term) {
        submittedChanges.endTerm();
        participant.leaseLost();
        compactAndSchedule();
    }

    @Override
    public void send(String peer, Message message) {
        socket.writeAndFlush(
                new DatagramPacket(
                        Unpooled.wrappedBuffer(MessageCodec.encode(fleet.name(), message)),
                        Addresses.parse(peer)),
                socket.voidPromise());
    }

    @Override
    public boolean force(List<DiskRecord> records) {
        if (store == null) {
            return false;
        }
        try {
            store.append(records);
            return true;
        } catch (StoreException failed) {
            // This is logged only once, because nothing is forced to disk after a failure.
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("changes cannot be written to disk: {}", failed.getMessage());
            return false;
        }
    }

    @Override
    public void versionApplied(long epoch, long version) {
        schedulePublish();
    }

    @Override
    public void changeCommitted(long version) {
        submittedChanges.recordCommitted(version);
    }

    @Override
    public void leaderSteppedDown(long term, String reason) {
        LOG.atWarn()
                .addKeyValue("event", "changes")
                .addKeyValue("term", term)
                .log("this replica is no longer the leader: {}", reason);
        // The action is deferred because the duty's candidate may be further up the call stack.
        loop.execute(giveUpDuty);
    }
}
