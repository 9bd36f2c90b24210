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
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import passhatch.duty.DutyCodec;
import passhatch.duty.DutyMessage;
import passhatch.fleet.DropReason;
import passhatch.fleet.FleetActions;
import passhatch.fleet.FleetSettings;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.store.StoreException;

/**
 * Runs the membership of this process over UDP on one event loop. Received datagrams are handled
 * before a timer runs. So after a stall, this process does not suspect members whose replies are
 * already queued at its socket.
 */
final class FleetNode implements FleetActions {

    private static final Logger LOG = LoggerFactory.getLogger(FleetNode.class);

    private static final int MAX_DATAGRAMS_PER_READ = 512;

    /**
     * Maximum number of member changes that are logged in one interval, because a thousand members
     * may change at once.
     */
    private static final int MAX_LOGGED_CHANGES = 50;

    private static final long LOG_INTERVAL_US = 10_000_000;

    private final EventLoop loop;
    private final AgentStore store;
    private AgentConfig.Fleet config;
    private Membership membership;
    private Map<InetSocketAddress, Integer> addressIndexes;
    private Channel socket;
    private BiConsumer<String, DutyMessage> dutyListener;
    private ScheduledFuture<?> timer;
    private long timerAtUs;
    private long logIntervalStartUs = Long.MIN_VALUE / 2;
    private int changesInInterval;
    private int suppressedChanges;

    FleetNode(EventLoop loop, AgentConfig.Fleet config, AgentStore store) {
        this.loop = loop;
        this.config = config;
        this.store = store;
    }

    /**
     * Binds the socket and starts the membership. This method must not be called on a thread of the
     * loop.
     *
     * @throws IOException if the address cannot be used
     */
    void start(String version, RandomGenerator random) throws IOException, InterruptedException {
        Channel bound =
                DatagramListener.bind(
                        loop, config.listen(), new Receiver(), MAX_DATAGRAMS_PER_READ);
        loop.submit(
                        () -> {
                            socket = bound;
                            addressIndexes = indexesByAddress(config.members());
                            membership =
                                    new Membership(
                                            new FleetSettings(
                                                    config.name(),
                                                    config.self(),
                                                    version,
                                                    config.roles(),
                                                    config.ownAddressIndex(),
                                                    config.members().size(),
                                                    TimeUnit.MICROSECONDS.convert(config.period()),
                                                    config.bytesPerSecond(),
                                                    TimeUnit.MICROSECONDS.convert(
                                                            config.forgetAfter())),
                                            nowUs(),
                                            store.epoch(),
                                            random,
                                            this);
                            scheduleTimer();
                        })
                .sync();
    }

    private static Map<InetSocketAddress, Integer> indexesByAddress(
            List<InetSocketAddress> members) {
        Map<InetSocketAddress, Integer> indexes = new HashMap<>();
        for (InetSocketAddress member : members) {
            indexes.put(member, indexes.size());
        }
        return indexes;
    }

    static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /**
     * Sets the listener for duty messages. It is called on the loop with the sender's name and the
     * message.
     */
    void onDutyMessage(BiConsumer<String, DutyMessage> listener) {
        dutyListener = listener;
    }

    /**
     * Sends a duty message to a member if the member's address is known. Must be called on the
     * loop.
     */
    void send(String to, DutyMessage message) {
        int addressIndex = membership.addressIndex(to);
        if (addressIndex >= 0) {
            send(addressIndex, DutyCodec.encode(config.name(), config.self(), message));
        }
    }

    /** Returns the state machine of the membership. It must be used only on the event loop. */
    Membership membership() {
        return membership;
    }

    /**
     * Returns whether this process participates in the fleet. True from the start of the membership
     * on, except while a newer process uses the name of this process.
     */
    boolean participates() {
        return membership != null && !membership.superseded();
    }

    List<InetSocketAddress> memberAddresses() {
        return config.members();
    }

    private void scheduleTimer() {
        long wakeUs = membership.wakeAtUs();
        if (timer != null && timerAtUs <= wakeUs && !timer.isDone()) {
            return; // The pending timer runs early enough and schedules the next one.
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtUs = wakeUs;
        timer = loop.schedule(this::runTimer, Math.max(0, wakeUs - nowUs()), TimeUnit.MICROSECONDS);
    }

    private void runTimer() {
        timer = null;
        if (membership.wakeAtUs() <= nowUs()) {
            membership.timer(nowUs());
        }
        scheduleTimer();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (membership == null) {
                return;
            }
            Integer addressIndex = addressIndexes.get(packet.sender());
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            if (addressIndex == null) {
                membership.countDropped(DropReason.STRANGER);
            } else if (dutyListener != null && bytes.length > 0 && bytes[0] == DutyCodec.FORMAT) {
                DutyCodec.Read read = DutyCodec.decode(config.name(), bytes);
                if (read.dropReason() != null) {
                    membership.countDropped(read.dropReason());
                } else {
                    dutyListener.accept(read.from(), read.message());
                }
            } else {
                membership.receive(nowUs(), addressIndex, bytes);
                scheduleTimer();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atWarn()
                    .addKeyValue("event", "socket")
                    .log("datagram socket: {}", cause.toString());
        }
    }

    /** Switches to a new list of members. Must be called on the loop. */
    void reconfigure(AgentConfig.Fleet newer) {
        Map<InetSocketAddress, Integer> newIndexByAddress = indexesByAddress(newer.members());
        int[] newIndexes =
                config.members().stream()
                        .mapToInt(m -> newIndexByAddress.getOrDefault(m, -1))
                        .toArray();
        LOG.atInfo()
                .addKeyValue("event", "members-configured")
                .addKeyValue("gone", Arrays.stream(newIndexes).filter(p -> p < 0).count())
                .log("the member list has {} addresses now", newIndexByAddress.size());
        config = newer;
        addressIndexes = newIndexByAddress;
        membership.updateAddresses(
                nowUs(), newIndexes, newer.ownAddressIndex(), newIndexByAddress.size());
        scheduleTimer();
    }

    /**
     * Announces that this process leaves. Must be called on the loop. The process must keep running
     * for another second so that the other members receive the announcement.
     */
    void leave() {
        membership.leave(nowUs());
        scheduleTimer();
    }

    @Override
    public void send(int addressIndex, byte[] datagram) {
        socket.writeAndFlush(
                new DatagramPacket(
                        Unpooled.wrappedBuffer(datagram), config.members().get(addressIndex)),
                socket.voidPromise());
    }

    @Override
    public boolean persistEpoch(long epoch) {
        try {
            store.persistEpoch(epoch);
            return true;
        } catch (StoreException failed) {
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("epoch {} cannot be stored: {}", epoch, failed.getMessage());
            return false;
        }
    }

    @Override
    public void memberChanged(Status before, MemberInfo after) {
        long now = nowUs();
        if (now - logIntervalStartUs > LOG_INTERVAL_US) {
            if (suppressedChanges > 0) {
                LOG.atInfo()
                        .addKeyValue("event", "members")
                        .log("{} further changes of members were not logged", suppressedChanges);
            }
            logIntervalStartUs = now;
            changesInInterval = 0;
            suppressedChanges = 0;
        }
        if (++changesInInterval > MAX_LOGGED_CHANGES) {
            suppressedChanges++;
            return;
        }
        LOG.atInfo()
                .addKeyValue("event", "member")
                .addKeyValue("member", after.name())
                .addKeyValue("incarnation", after.incarnation())
                .log(
                        "{} is {}, was {}",
                        after.name(),
                        MembersText.label(after.status()),
                        before == null ? "not known" : MembersText.label(before));
    }

    @Override
    public void warn(String text) {
        LOG.atWarn().addKeyValue("event", "identity").log(text);
    }
}
