package passhatch.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What clients come through: it spreads them over the proxies that it takes for alive, and hears of
 * a dead one late. Told by the drill, read by the load's threads.
 */
public final class Front {

    /** One proxy as the front knows it. */
    static final class Entry {
        private final InetSocketAddress address;
        private volatile boolean admitted;
        private volatile boolean hurt;
        private volatile long hurtUntilNs = Long.MIN_VALUE;

        Entry(InetSocketAddress address) {
            this.address = address;
        }

        InetSocketAddress address() {
            return address;
        }

        /** Whether a fault held or ended its process at any time since then. */
        boolean hurtSince(long ns) {
            return hurt || hurtUntilNs - ns >= 0 && hurtUntilNs != Long.MIN_VALUE;
        }
    }

    private final List<Entry> entries;

    /** A front before these proxies, none of which is admitted yet. */
    public Front(List<InetSocketAddress> proxies) {
        this.entries = proxies.stream().map(Entry::new).toList();
    }

    /** Whether clients are sent to a proxy from now on. */
    public void admit(int proxy, boolean on) {
        entries.get(proxy).admitted = on;
    }

    /** A fault holds or has ended the process; or, with false, it serves again. */
    public void hurt(int proxy, boolean on) {
        Entry e = entries.get(proxy);
        e.hurtUntilNs = System.nanoTime();
        e.hurt = on;
    }

    /** The next admitted proxy from a number on, other than one; null where there is none. */
    Entry next(int from, Entry except) {
        for (int i = 0; i < entries.size(); i++) {
            Entry e = entries.get(Math.floorMod(from + i, entries.size()));
            if (e.admitted && e != except) {
                return e;
            }
        }
        return except != null && except.admitted ? except : null;
    }
}
