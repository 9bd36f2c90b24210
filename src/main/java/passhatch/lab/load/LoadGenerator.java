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

/**
 * Generates open-loop load: new requests do not wait for earlier responses, as with many
 * independent clients.
 */
public final class LoadGenerator implements AutoCloseable {

    private final MultiThreadIoEventLoopGroup group;
    private final List<Sender> senders = new ArrayList<>();
    private final LongAdder served = new LongAdder();
    private final LongAdder completed = new LongAdder();

    /** Creates a generator that sends nothing before {@link #start}. */
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

    /**
     * Starts the load; the first requests are due when {@link System#nanoTime} reaches {@code
     * startNs}.
     */
    public void start(long startNs) {
        senders.forEach(s -> s.start(startNs));
    }

    /** Returns two numbers: the requests completed so far, and how many of those were served. */
    public long[] completedAndServed() {
        return new long[] {completed.sum(), served.sum()};
    }

    /**
     * Waits until all requests have completed, which is soon after the last request's deadline, and
     * returns the statistics.
     */
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
