package passhatch;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: its input events (the methods) and its output ({@link
 * Actions}).
 *
 * <p>One instance serves one proxy. It reads no clock: every call passes the time, in microseconds,
 * of a clock that starts anywhere and never goes back. It is not thread-safe. It calls actions only
 * from within one of the methods here. All durations are in microseconds.
 */
public interface Balancer {

    /** Whether a request may run more than once. */
    enum Effect {
        /** Safe to repeat. */
        SAFE,
        /** Carries a key by which a group of servers drops repeats for a limited time. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The servers that share the deduplication memory of a keyed class. */
    enum DedupGroup {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell, a few servers of one zone. */
        CELL
    }

    /** The result of an attempt or a probe. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** Rejected without being run: the queue is full, or the server drains. */
        FULL(true),
        /** No response in time; the request may have run or may still run. */
        TIMEOUT(false),
        /** No connection: the server is down, unreachable, or has no connection left. */
        CONNECT_FAILED(true),
        /** The connection broke during the attempt. */
        RESET(false),
        /** Cancelled by this proxy; the request may have run. */
        CANCELLED(false),
        /**
         * Never sent by this proxy: the request had ended, or its time or its attempts were used
         * up.
         */
        NOT_SENT(true);

        /** Whether the outcome proves that the request never ran. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** The status of a server according to discovery. */
    enum ServerStatus {
        /** It runs. */
        UP,
        /** It finishes its work and takes no new requests. */
        DRAINING,
        /** It was removed. */
        GONE
    }

    /**
     * How current a list of servers is.
     *
     * @param asOfUs the list has every change that discovery had at this time
     * @param watchedUntilUs up to this time changes are sent as they happen, unless the watch
     *     breaks before
     */
    record ListFreshness(long asOfUs, long watchedUntilUs) {}

    /** What a list of servers contains and where it comes from. */
    enum ListKind {
        /** Changes to the current list; there may be none. */
        CHANGES,
        /** The whole list. */
        WHOLE,
        /** The whole list as it was at some time before the start. */
        REMEMBERED,
        /** The whole list as it was until the start. */
        RECENT
    }

    /**
     * A class of requests. No component has a default.
     *
     * @param name for display only
     * @param aimUs the target latency: a later response is worth only {@code lateWorth} of the full
     *     worth; above 0
     * @param deadlineUs how long a client waits over all its tries; at least {@code aimUs}
     * @param worth the worth of one request, per request or per unit of work; not negative
     * @param lateWorth the fraction of the worth left after the target latency, 0 to 1
     * @param effect whether a request may run more than once
     * @param group the servers that drop repeats of a keyed request; unused for other effects
     * @param dedupWindowUs how long repeats of a keyed request are dropped, from its first send
     * @param zones the zones whose servers may run it, at any attempt; null for all
     * @param models the machine types that may run it, at any attempt; null for all
     */
    record RequestClass(
            String name,
            long aimUs,
            long deadlineUs,
            double worth,
            double lateWorth,
            Effect effect,
            DedupGroup group,
            long dedupWindowUs,
            Set<Integer> zones,
            Set<Integer> models) {

        /** Creates a class that may run on any server. */
        public RequestClass(
                String name,
                long aimUs,
                long deadlineUs,
                double worth,
                double lateWorth,
                Effect effect,
                DedupGroup group,
                long dedupWindowUs) {
            this(
                    name,
                    aimUs,
                    deadlineUs,
                    worth,
                    lateWorth,
                    effect,
                    group,
                    dedupWindowUs,
                    null,
                    null);
        }
    }

    /**
     * A tenant and its quota.
     *
     * @param name for display only
     * @param quotaPerSecond requests per second over all proxies that are within its quota; 0 for
     *     unlimited
     */
    record Tenant(String name, double quotaPerSecond) {}

    /**
     * The limits of the deployment.
     *
     * @param maxAttempts maximum attempts for one request, at least 1
     * @param cancel whether attempts may be cancelled
     * @param probes whether servers may be probed for their load
     * @param maxRetryAfterUs the longest retry advice that clients follow; 0 if they follow none
     * @param callsPerConnection requests that one connection carries at a time, at least 1
     * @param keepaliveUs how long an idle connection is kept open; 0 if none is kept or the time is
     *     not known
     */
    record Limits(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            long maxRetryAfterUs,
            int callsPerConnection,
            long keepaliveUs) {

        /** Creates the limits where it is not known how long connections stay open. */
        public Limits(
                int maxAttempts,
                boolean cancel,
                boolean probes,
                long maxRetryAfterUs,
                int callsPerConnection) {
            this(maxAttempts, cancel, probes, maxRetryAfterUs, callsPerConnection, 0);
        }
    }

    /**
     * The parameters for draining and for cold servers.
     *
     * @param drainGraceUs how long after the notice that a server drains or is gone it may still be
     *     sent requests
     * @param askWithinUs maximum time between two requests to discovery where it must be asked; 0
     *     where it need not be
     * @param coldFrom fraction of its capacity a server starts with, above 0, at most 1
     * @param coldUs maximum time for which a server stays cold
     * @param tipMultiple load, as a multiple of its capacity, above which a cold server fails
     * @param overloadForUs how long that load must last for the server to fail
     * @param closeWithinUs how long idle connections to a draining server may stay open; 0 for
     *     without limit
     */
    record Rules(
            long drainGraceUs,
            long askWithinUs,
            double coldFrom,
            long coldUs,
            double tipMultiple,
            long overloadForUs,
            long closeWithinUs) {

        /** Creates the parameters where connections to a draining server may stay open. */
        public Rules(
                long drainGraceUs,
                long askWithinUs,
                double coldFrom,
                long coldUs,
                double tipMultiple,
                long overloadForUs) {
            this(drainGraceUs, askWithinUs, coldFrom, coldUs, tipMultiple, overloadForUs, 0);
        }
    }

    /**
     * Prices, as fractions of the whole worth.
     *
     * @param probe of one probe per request
     * @param crossZone of one attempt per request that crosses zones
     */
    record Prices(double probe, double crossZone) {}

    /**
     * The settings of one instance; {@link SettingsBuilder} sets them by name and has defaults.
     *
     * @param classes the classes of requests, at least one; requests refer to them by index
     * @param tenants the tenants, by index; may be empty
     * @param limits the limits of the deployment
     * @param rules the parameters for draining and for cold servers
     * @param prices the prices of probes and of crossing zones
     * @param copies instances that send to the same tier, this one included; at least 1
     * @param copy this instance's number among them, from 0
     * @param tier the tier this instance sends to, from 0
     * @param tiers number of tiers
     * @param zone the zone this instance is in
     * @param watch whether discovery must be asked for changes
     * @param overQuotaWorth fraction of the worth left for requests over a tenant's quota, 0 to 1
     * @param tickUs shortest time between two events of this instance
     */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Prices prices,
            int copies,
            int copy,
            int tier,
            int tiers,
            int zone,
            boolean watch,
            double overQuotaWorth,
            long tickUs) {}

    /**
     * One entry of a list of servers.
     *
     * @param id the server's name, an opaque text that stays the same when its process restarts
     * @param startedAtUs when its process last started; 0 for long ago
     * @param zone the zone it is in
     * @param group the cell with which it shares its deduplication memory
     * @param status whether it may be sent new requests
     * @param model its machine type, to which classes may be restricted
     */
    record Server(
            String id, long startedAtUs, int zone, int group, ServerStatus status, int model) {

        /** Creates a server of the only machine type there is. */
        public Server(String id, long startedAtUs, int zone, int group, ServerStatus status) {
            this(id, startedAtUs, zone, group, status, 0);
        }
    }

    /**
     * A request received from a client.
     *
     * @param id never used again, not even for another try of the same client
     * @param requestClass index of its class in the settings
     * @param tenant index of its tenant, 0 where there are none
     * @param timeLeftUs time until the client gives up this try
     * @param workUs expected work on a standard core; 0 if unknown
     * @param clientRetry whether the client marked it as another try
     */
    record Request(
            String id,
            int requestClass,
            int tenant,
            long timeLeftUs,
            long workUs,
            boolean clientRetry) {}

    /**
     * The load that a server reports; -1 for a value that it does not report.
     *
     * @param inFlight requests it holds
     * @param queue those of them that wait
     * @param utilisation the fraction of its capacity in use, 0 to 1
     */
    record LoadReport(double inFlight, double queue, double utilisation) {}

    /** The actions that the module may request. Ids are passed back as they were received. */
    interface Actions {
        /**
         * Sends an attempt. The attempts of a request are numbered from 0 in the order of these
         * calls.
         */
        void send(String request, String server, long timeoutUs);

        /**
         * Ends a request as refused: the client may safely try again, after {@code retryAfterUs} if
         * it follows such advice.
         */
        void refuse(String request, long retryAfterUs);

        /** Ends a request as failed, whether or not it ran and whether or not a retry is safe. */
        void fail(String request);

        /** Cancels an attempt. */
        void cancel(String request, int attempt);

        /**
         * Closes the idle connections to a server. The default does nothing, for deployments where
         * they may stay open.
         */
        default void closeIdle(String server) {}

        /** Asks a server for its load. */
        void probe(String server);

        /** Requests a call of {@link Balancer#timer} at or after the given time. */
        void wakeAt(long atUs);

        /** Asks discovery to report changes from now on. */
        void watchServers();

        /** Writes a line to the operator's log. */
        void log(String text);
    }

    /**
     * Updates the list of servers. The first call after construction passes the list from before
     * the start. With a list that is {@link ListKind#REMEMBERED}, nothing is sent before discovery
     * has sent the list or changes to it.
     *
     * @param freshness how current the list is after the update; unused for one from before the
     *     start
     */
    void serversChanged(long nowUs, ListKind kind, List<Server> servers, ListFreshness freshness);

    /**
     * Updates the list of servers over a protocol that sends changes at once and reports a broken
     * subscription.
     */
    default void serversChanged(long nowUs, ListKind kind, List<Server> servers) {
        serversChanged(nowUs, kind, servers, new ListFreshness(nowUs, Long.MAX_VALUE));
    }

    /** Discovery has confirmed that the list did not change. */
    void listCurrent(long nowUs, ListFreshness freshness);

    /**
     * A call to discovery failed or its subscription broke. The current list stays valid until this
     * process is deemed notified of the first change that the list may lack.
     */
    void discoveryFailed(long nowUs);

    /**
     * Discovery has begun to send something that is not applied and may never be. This process is
     * deemed notified of it until the list is confirmed again.
     *
     * @param sinceUs when it began
     */
    void listPending(long sinceUs);

    /**
     * This process was stalled. Changes that discovery sent meanwhile may be unread; this process
     * is deemed notified of them.
     *
     * @param sinceUs since when nothing was read
     */
    void listUnread(long sinceUs);

    /** All that arrived during the stall has been read. */
    void listRead(long nowUs);

    /** Discovery has rejected a call at once, which shows that it is alive but overloaded. */
    void discoveryTurnedAway();

    /** A connection to discovery was established, whatever becomes of it. */
    void discoveryReached();

    /**
     * The address of discovery has changed.
     *
     * @param sinceUs the earliest time of the change; a process that was stalled is notified late
     */
    void discoveryMoved(long nowUs, long sinceUs);

    /** Returns whether a server may be sent requests now; to be checked just before each write. */
    boolean mayReach(long nowUs, String server);

    /** A new request; it must get one final answer. */
    void request(long nowUs, Request request);

    /**
     * An attempt ended.
     *
     * @param elapsedUs time since it was sent
     * @param ended whether the request is completed by this outcome or was before it
     * @param report the server's load, or null
     */
    void outcome(
            long nowUs,
            String request,
            int attempt,
            String server,
            Outcome outcome,
            long elapsedUs,
            boolean ended,
            LoadReport report);

    /**
     * A streamed response began. It is the request's final answer, so the attempt has no time-out
     * from now on; its outcome reports whether the response was complete.
     */
    void streamStarted(long nowUs, String request, int attempt, String server, long elapsedUs);

    /**
     * The body of a request is sent to the server of its attempt as it arrives from the client and
     * is not kept, so the request cannot be sent again. No response is due before {@link
     * #bodyWritten}.
     */
    void bodySpent(long nowUs, String request);

    /** All of such a body has been sent; the server's response time starts now. */
    void bodyWritten(long nowUs, String request, int attempt);

    /** The client has disconnected; the request is completed. */
    void clientGone(long nowUs, String request);

    /** A probe ended; {@code report} is null if the server sent none. */
    void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report);

    /** A time requested by {@link Actions#wakeAt} has come. */
    void timer(long nowUs);

    /**
     * Returns how many servers of the current list are avoided now: they drain, are in cooldown, or
     * are used only if all others are busy.
     */
    int hostsDown(long nowUs);
}
