package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.names;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.ServerStatus;

/** A cold server gets a limited share of the requests of all copies together. */
final class SlowStartTest {

    @Test
    void allCopiesTogetherSendAColdServerLessThanAWarmOne() {
        int cold = 0;
        int warm = 0;
        for (int copy = 0; copy < 20; copy++) {
            Proxy proxy = new Proxy(setup(), copy).startWith("a", "b", "c", "d");
            for (int i = 0; i < 20; i++) {
                proxy.serve();
            }
            proxy.change("new", proxy.nowUs, ServerStatus.UP);
            for (int i = 0; i < 40; i++) {
                String server = proxy.serve();
                cold += server.equals("new") ? 1 : 0;
                warm += server.equals("new") ? 0 : 1;
            }
        }
        assertTrue(cold > 0, "a cold server must get some requests");
        assertTrue(
                cold < 0.6 * warm / 4,
                cold + " requests to the cold server, " + warm / 4 + " to each warm server");
    }

    @Test
    void copiesDoNotAllUseANewServerAtOnce() {
        int used = 0;
        for (int copy = 0; copy < 40; copy++) {
            Proxy proxy = new Proxy(setup(), copy).startWith("a", "b", "c", "d");
            for (int i = 0; i < 20; i++) {
                proxy.serve();
            }
            proxy.change("new", proxy.nowUs, ServerStatus.UP);
            used += "new".equals(proxy.serve()) ? 1 : 0;
        }
        assertTrue(used < 12, used + " of 40 copies took the new server first");
    }

    /** Returns how many of 200 copies with few requests send one of their next to a new server. */
    private int countCopiesUsingNewServer(long coldMs, int requests) {
        int tried = 0;
        for (int copy = 0; copy < 200; copy++) {
            Proxy.Setup setup = setup();
            setup.copies = 200;
            setup.probes = true;
            setup.copy = copy;
            Proxy proxy = new Proxy(setup, copy).startWith(names(20));
            for (int i = 0; i < 30; i++) {
                proxy.serve();
                proxy.advance(1_000);
            }
            proxy.change("new", proxy.nowUs, ServerStatus.UP);
            proxy.advance(coldMs);
            boolean usesNewServer = false;
            for (int i = 0; i < requests; i++) {
                usesNewServer |= proxy.serve().equals("new");
            }
            tried += usesNewServer ? 1 : 0;
        }
        return tried;
    }

    @Test
    void onlySomeCopiesUseANewServerWhileItIsCold() {
        int next = countCopiesUsingNewServer(0, 1);
        assertTrue(next < 20, next + " of 200 copies sent their next request to it");
        // A quarter of its capacity at first; sent at most half of twice that.
        int users = countCopiesUsingNewServer(0, 21);
        assertTrue(users > 20 && users < 80, users + " of 200 copies use it at its start");
    }

    @Test
    void allCopiesUseAWarmServerHoweverLongTheirRoundsTake() {
        // With many copies a round of one copy takes a minute. Waits of a round or two would starve
        // new servers, and a deployment would leave all requests to the last of the old ones.
        assertEquals(200, countCopiesUsingNewServer(8_000, 21));
    }

    @Test
    void aRestartUnderTheSameIdIsCold() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 10; i++) {
            proxy.serve();
        }
        proxy.change("a", proxy.nowUs, ServerStatus.UP);
        int requests = 0;
        for (int i = 0; i < 10; i++) {
            requests += proxy.serve().equals("a") ? 1 : 0;
        }
        assertTrue(requests <= 4, "requests to the restarted server: " + requests);
    }
}
