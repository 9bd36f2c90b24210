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
import passhatch.fleet.Drop;
import passhatch.fleet.FleetActions;
import passhatch.fleet.FleetSettings;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.store.StoreException;

/**
 * Drives membership over UDP, on one event loop: whatever has arrived is handed over before a timer
 * runs, so that a process that was held does not accuse others whose answers wait at its socket.
 */
final class FleetNode implements FleetActions {

    private static final Logger LOG = LoggerFactory.getLogger(FleetNode.class);

    private static final int DATAGRAMS_A_TURN = 512;

    /** A thousand members' changes of a moment need not be a thousand lines. */
    private static final int LINES = 50;

    private static final long LINES_FOR_US = 10_000_000;

    private final EventLoop loop;
    private final AgentStore store;
    private AgentConfig.Fleet config;
    private Membership membership;
    private Map<InetSocketAddress, Integer> places;
    private Channel socket;
    private BiConsumer<String, DutyMessage> duties;
    private ScheduledFuture<?> timer;
    private long timerAtUs;
    private long linesSinceUs = Long.MIN_VALUE / 2;
    private int lines;
    private int untold;

    FleetNode(EventLoop loop, AgentConfig.Fleet config, AgentStore store) {
        this.loop = loop;
        this.config = config;
        this.store = store;
    }

    /**
     * Listens and takes part. On no thread of the loop.
     *
     * @throws IOException where the address cannot be used
     */
    void start(String version, RandomGenerator random) throws IOException, InterruptedException {
        Channel bound =
                DatagramListener.bind(loop, config.listen(), new Receiver(), DATAGRAMS_A_TURN);
        loop.submit(
                        () -> {
                            socket = bound;
                            places = places(config.members());
                            membership =
                                    new Membership(
                                            new FleetSettings(
                                                    config.name(),
                                                    config.self(),
                                                    version,
                                                    config.roles(),
                                                    config.own(),
                                                    config.members().size(),
                                                    TimeUnit.MICROSECONDS.convert(config.period()),
                                                    config.bytesPerSecond(),
                                                    TimeUnit.MICROSECONDS.convert(
                                                            config.forgetAfter())),
                                            nowUs(),
                                            store.epoch(),
                                            random,
                                            this);
                            plan();
                        })
                .sync();
    }

    private static Map<InetSocketAddress, Integer> places(List<InetSocketAddress> members) {
        Map<InetSocketAddress, Integer> places = new HashMap<>();
        for (InetSocketAddress member : members) {
            places.put(member, places.size());
        }
        return places;
    }

    static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Who hears messages on duties; on the loop. */
    void duties(BiConsumer<String, DutyMessage> hears) {
        duties = hears;
    }

    /** Sends a message on duties to a member, as far as its address is known; on the loop. */
    void send(String to, DutyMessage message) {
        int address = membership.address(to);
        if (address >= 0) {
            send(address, DutyCodec.encode(config.name(), config.self(), message));
        }
    }

    /** The state machine; to be asked on the loop only. */
    Membership membership() {
        return membership;
    }

    /** Whether it takes part: not where a newer process has its name. */
    boolean takesPart() {
        return membership != null && !membership.givenWay();
    }

    List<InetSocketAddress> members() {
        return config.members();
    }

    private void plan() {
        long at = membership.wakeAtUs();
        if (timer != null && timerAtUs <= at && !timer.isDone()) {
            return; // It looks again when that one has run.
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtUs = at;
        timer = loop.schedule(this::wake, Math.max(0, at - nowUs()), TimeUnit.MICROSECONDS);
    }

    private void wake() {
        timer = null;
        if (membership.wakeAtUs() <= nowUs()) {
            membership.timer(nowUs());
        }
        plan();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (membership == null) {
                return;
            }
            Integer place = places.get(packet.sender());
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            if (place == null) {
                membership.dropped(Drop.STRANGER);
            } else if (duties != null && bytes.length > 0 && bytes[0] == DutyCodec.FORMAT) {
                DutyCodec.Read read = DutyCodec.decode(config.name(), bytes);
                if (read.fault() != null) {
                    membership.dropped(read.fault());
                } else {
                    duties.accept(read.from(), read.message());
                }
            } else {
                membership.datagram(nowUs(), place, bytes);
                plan();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atWarn().addKeyValue("event", "socket").log("datagrams: {}", cause.toString());
        }
    }

    /** Takes another list of members; on the loop. */
    void reconfigure(AgentConfig.Fleet newer) {
        Map<InetSocketAddress, Integer> to = places(newer.members());
        int[] newPlaces = config.members().stream().mapToInt(m -> to.getOrDefault(m, -1)).toArray();
        LOG.atInfo()
                .addKeyValue("event", "members-configured")
                .addKeyValue("gone", Arrays.stream(newPlaces).filter(p -> p < 0).count())
                .log("{} addresses are configured now", to.size());
        config = newer;
        places = to;
        membership.readdress(nowUs(), newPlaces, newer.own(), to.size());
        plan();
    }

    /**
     * Says that this process goes; on the loop. It has to go on for a second, so that the others
     * hear it.
     */
    void leave() {
        membership.leave(nowUs());
        plan();
    }

    @Override
    public void send(int address, byte[] datagram) {
        socket.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(datagram), config.members().get(address)),
                socket.voidPromise());
    }

    @Override
    public boolean claim(long epoch) {
        try {
            store.claim(epoch);
            return true;
        } catch (StoreException failed) {
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("epoch {} is not durable: {}", epoch, failed.getMessage());
            return false;
        }
    }

    @Override
    public void changed(Status before, MemberInfo after) {
        long now = nowUs();
        if (now - linesSinceUs > LINES_FOR_US) {
            if (untold > 0) {
                LOG.atInfo()
                        .addKeyValue("event", "members")
                        .log("{} further changes were not told", untold);
            }
            linesSinceUs = now;
            lines = 0;
            untold = 0;
        }
        if (++lines > LINES) {
            untold++;
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
    public void note(String text) {
        LOG.atWarn().addKeyValue("event", "identity").log(text);
    }
}
