package passhatch.lab.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import passhatch.lab.Seeds;

/** Gives a load: arrivals do not wait for answers, as those of many clients do not. */
public final class Load implements AutoCloseable {

    private final MultiThreadIoEventLoopGroup group;
    private final List<Sender> senders = new ArrayList<>();
    private final LongAdder served = new LongAdder();
    private final LongAdder ended = new LongAdder();

    /** A load that has not begun. */
    public Load(LoadPlan plan, Front front, Seeds seeds) {
        group =
                new MultiThreadIoEventLoopGroup(
                        plan.threads(),
                        new DefaultThreadFactory("load", true),
                        NioIoHandler.newFactory());
        for (int i = 0; i < plan.threads(); i++) {
            EventLoop loop = group.next();
            senders.add(
                    new Sender(
                            plan,
                            front,
                            loop,
                            seeds.stream("load-" + i),
                            i,
                            outcome -> {
                                ended.increment();
                                if (outcome == Outcome.SERVED) {
                                    served.increment();
                                }
                            }));
        }
    }

    /** Begins; the first requests are due from this time of {@link System#nanoTime} on. */
    public void begin(long atNs) {
        senders.forEach(s -> s.begin(atNs));
    }

    /** Requests that have ended so far, and those of them that were served. */
    public long[] soFar() {
        return new long[] {ended.sum(), served.sum()};
    }

    /** Waits until each request has ended, which is soon after the last one's time. */
    public Tally await() throws InterruptedException {
        Tally all = new Tally();
        for (Sender s : senders) {
            Future<Tally> done = s.done();
            done.sync();
            all.add(done.getNow());
        }
        return all;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
