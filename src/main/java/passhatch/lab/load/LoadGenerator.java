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
public final class LoadGenerator implements AutoCloseable {

    private final MultiThreadIoEventLoopGroup group;
    private final List<Sender> senders = new ArrayList<>();
    private final LongAdder served = new LongAdder();
    private final LongAdder completed = new LongAdder();

    /** A load that has not begun. */
    public LoadGenerator(LoadPlan plan, ProxyPool proxies, Seeds seeds) {
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
                            proxies,
                            loop,
                            seeds.stream("load-" + i),
                            i,
                            outcome -> {
                                completed.increment();
                                if (outcome == Outcome.SERVED) {
                                    served.increment();
                                }
                            }));
        }
    }

    /** Begins; the first requests are due from this time of {@link System#nanoTime} on. */
    public void start(long startNs) {
        senders.forEach(s -> s.start(startNs));
    }

    /** Requests that have ended so far, and those of them that were served. */
    public long[] completedAndServed() {
        return new long[] {completed.sum(), served.sum()};
    }

    /** Waits until each request has ended, which is soon after the last one's time. */
    public LoadStats await() throws InterruptedException {
        LoadStats total = new LoadStats();
        for (Sender sender : senders) {
            Future<LoadStats> completion = sender.completion();
            completion.sync();
            total.add(completion.getNow());
        }
        return total;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
