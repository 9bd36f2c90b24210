package passhatch;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: its input events (the methods) and its output ({@link
 * Actions}).
 *
 * <p>One instance serves one proxy. An instance reads no clock: each call passes the current time
 * in microseconds, taken from a monotonic clock with an arbitrary start. An instance is not
 * thread-safe, and it calls actions only while one of the methods here runs. All durations are in
 * microseconds.
 */
public interface Balancer {

    /** Whether a request may run more than once. */
    enum Effect {
        /** The request is safe to repeat. */
        SAFE,
        /**
         * The request carries a key by which a group of servers recognizes and drops repeats for a
         * limited time.
         */
        KEYED,
        /** The request must never run twice. */
        UNSAFE
    }

    /** The servers that share the deduplication memory of a keyed class. */
    enum DedupGroup {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell, which is a small group of servers in one zone. */
        CELL
    }

    /** The result of an attempt or a probe. */
    enum Outcome {
        /** The server served the request or the probe. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /**
         * The server rejected the request without running it: the server's queue is full, or the
         * server drains.
         */
        FULL(true),
        /** No response arrived in time; the request may have run or may still run. */
        TIMEOUT(false),
        /**
         * No connection could be made: the server is down, unreachable, or accepts no further
         * connections.
         */
        CONNECT_FAILED(true),
        /** The connection broke during the attempt. */
        RESET(false),
        /** This proxy cancelled the attempt; the request may have run. */
        CANCELLED(false),
        /**
         * This proxy never sent the attempt, because the request had ended or had no time or no
         * attempts left.
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
        /** The server runs and takes new requests. */
        UP,
        /** The server finishes its work and takes no new requests. */
        DRAINING,
        /** The server was removed. */
        GONE
    }

    /**
     * How current a list of servers is.
     *
     * @param asOfUs time as of which the list is complete: the list has every change that discovery
     *     had by that time
     * @param watchedUntilUs time until which discovery sends changes as they happen, unless the
     *     watch breaks earlier
     */
    record ListFreshness(long asOfUs, long watchedUntilUs) {}

    /** What a list of servers contains and where it comes from. */
    enum ListKind {
        /** Changes to the current list; there may be none. */
        CHANGES,
        /** The whole list. */
        WHOLE,
        /** The whole list as it was at some unknown time before this process started. */
        REMEMBERED,
        /** The whole list as it was until this process started. */
        RECENT
    }

    /**
     * A class of requests. No component has a default.
     *
     * @param name for display only
     * @param aimUs the target latency: a later response is worth only {@code lateWorth} of the full
     *     worth; above 0
     * @param deadlineUs how long a client waits in total, its retries included; at least {@code
     *     aimUs}
     * @param worth the value of serving a request, given per request or per unit of work; not
     *     negative
     * @param lateWorth the fraction of the worth left after the target latency, 0 to 1
     * @param effect whether a request of this class may run more than once
     * @param group the servers that drop repeats of a keyed request; unused for other effects
     * @param dedupWindowUs how long after the first send of a keyed request its repeats are dropped
     * @param zones the zones whose servers may run requests of this class; null for all zones
     * @param models the machine types that may run requests of this class; null for all types
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

        /** Creates a class whose requests may run on any server. */
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
     * @param quotaPerSecond the requests per second that the tenant may send through all proxies
     *     together; 0 for unlimited
     */
    record Tenant(String name, double quotaPerSecond) {}

    /**
     * The limits of the deployment.
     *
     * @param maxAttempts maximum attempts for one request, at least 1
     * @param cancel whether attempts may be cancelled
     * @param probes whether servers may be probed for their load
     * @param maxRetryAfterUs maximum time that clients wait before a retry if they are advised to
     *     wait; 0 if clients do not follow such advice
     * @param callsPerConnection maximum requests that one connection carries at a time, at least 1
     * @param keepaliveUs how long an idle connection is kept open; 0 if idle connections are closed
     *     at once or this time is unknown
     */
    record Limits(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            long maxRetryAfterUs,
            int callsPerConnection,
            long keepaliveUs) {

        /**
         * Creates limits for deployments where it is not known how long idle connections stay open.
         */
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
     * @param drainGraceUs how long this process may go on sending requests to a server after the
     *     notice that the server drains or is gone
     * @param askWithinUs maximum time between two calls that ask discovery for changes; 0 if
     *     discovery sends changes unasked
     * @param coldFrom fraction of its full capacity that a server has right after its start; above
     *     0, at most 1
     * @param coldUs maximum time after its start for which a server stays cold, that is, below its
     *     full capacity
     * @param tipMultiple load above which a cold server fails, as a multiple of its present
     *     capacity
     * @param overloadForUs how long such a load must last until the server fails
     * @param closeWithinUs how long idle connections to a draining server may stay open; 0 for no
     *     limit
     */
    record Rules(
            long drainGraceUs,
            long askWithinUs,
            double coldFrom,
            long coldUs,
            double tipMultiple,
            long overloadForUs,
            long closeWithinUs) {

        /**
         * Creates parameters for deployments where connections to a draining server may stay open.
         */
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
     * Prices of extra work, as fractions of the worth of all requests.
     *
     * @param probe price of sending one probe for every request
     * @param crossZone price of sending one attempt of every request to another zone
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
     * @param copies number of instances that send to the same tier, including this one; at least 1
     * @param copy index of this instance among the copies, from 0
     * @param tier index of the tier that this instance sends to, from 0
     * @param tiers number of tiers
     * @param zone the zone of this instance
     * @param watch whether this instance must ask discovery for changes; false if discovery sends
     *     changes unasked
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
     * @param startedAtUs when the server's process last started; 0 if that was long ago
     * @param zone the zone of the server
     * @param group the cell whose servers share their deduplication memory with this server
     * @param status whether the server takes new requests
     * @param model the server's machine type; a class of requests may be restricted to some types
     */
    record Server(
            String id, long startedAtUs, int zone, int group, ServerStatus status, int model) {

        /** Creates a server of type 0, for deployments with one machine type. */
        public Server(String id, long startedAtUs, int zone, int group, ServerStatus status) {
            this(id, startedAtUs, zone, group, status, 0);
        }
    }

    /**
     * A request received from a client.
     *
     * @param id unique id of the request; a client's retry has a new id
     * @param requestClass index of the request's class in the settings
     * @param tenant index of the request's tenant in the settings; 0 if there are no tenants
     * @param timeLeftUs time until the client stops waiting for a response to this request
     * @param workUs expected execution time of the request on a standard core; 0 if unknown
     * @param clientRetry whether the client marked the request as a retry
     * @param uploading whether the client is still sending the request's body
     */
    record Request(
            String id,
            int requestClass,
            int tenant,
            long timeLeftUs,
            long workUs,
            boolean clientRetry,
            boolean uploading) {

        /** Creates a request that has been received completely. */
        public Request(
                String id,
                int requestClass,
                int tenant,
                long timeLeftUs,
                long workUs,
                boolean clientRetry) {
            this(id, requestClass, tenant, timeLeftUs, workUs, clientRetry, false);
        }
    }

    /**
     * The load that a server reports; -1 for a value that it does not report.
     *
     * @param inFlight number of requests at the server, running or waiting
     * @param queue number of requests at the server that wait to run
     * @param utilisation fraction of the server's capacity in use, 0 to 1
     */
    record LoadReport(double inFlight, double queue, double utilisation) {}

    /**
     * The actions that the decision module may request. Ids of requests and servers are the ones
     * that were passed in.
     */
    interface Actions {
        /**
         * Sends an attempt of a request to a server. The attempts of a request are numbered from 0,
         * in the order of the calls of this method.
         */
        void send(String request, String server, long timeoutUs);

        /**
         * Ends a request as refused: the client may safely retry it, and is advised to wait {@code
         * retryAfterUs} before the retry.
         */
        void refuse(String request, long retryAfterUs);

        /** Ends a request as failed. The request may have run, and a retry may be unsafe. */
        void fail(String request);

        /** Cancels an outstanding attempt of a request. */
        void cancel(String request, int attempt);

        /**
         * Closes the idle connections to a server. The default does nothing, for deployments where
         * idle connections may stay open.
         */
        default void closeIdle(String server) {}

        /** Sends a probe that asks a server for its load. */
        void probe(String server);

        /** Requests a call of {@link Balancer#timer} at or after the given time. */
        void wakeAt(long atUs);

        /** Asks discovery to send changes of the list of servers from now on. */
        void watchServers();

        /** Writes a line to the operator's log. */
        void log(String text);
    }

    /**
     * Replaces or changes the list of servers. The first call after construction passes the list
     * from before this process started. If that list is {@link ListKind#REMEMBERED}, no request is
     * sent before discovery has sent the list or changes to it or, while discovery cannot be
     * reached, before {@link ListLease#UNCONFIRMED_START_TIMEOUT_US} has passed.
     *
     * @param freshness how current the list is after this call; unused for a list from before the
     *     start
     */
    void serversChanged(long nowUs, ListKind kind, List<Server> servers, ListFreshness freshness);

    /**
     * Replaces or changes the list of servers in deployments where discovery sends changes at once
     * and a broken watch is reported. The list then stays current until {@link #discoveryFailed} is
     * called.
     */
    default void serversChanged(long nowUs, ListKind kind, List<Server> servers) {
        serversChanged(nowUs, kind, servers, new ListFreshness(nowUs, Long.MAX_VALUE));
    }

    /** Reports that discovery has confirmed that the list did not change. */
    void listCurrent(long nowUs, ListFreshness freshness);

    /**
     * Reports that a call to discovery failed or that the watch broke. From now on the list may
     * lack changes. The list stays in use until the drain grace has passed since the earliest time
     * at which this process may be deemed notified of a missing change.
     */
    void discoveryFailed(long nowUs);

    /**
     * Reports that discovery has begun to send a message that this process has not applied and may
     * never apply. Until the list is confirmed again, this process is deemed notified of the
     * changes in that message.
     *
     * @param sinceUs when discovery began to send the message
     */
    void listPending(long sinceUs);

    /**
     * Reports that this process was stalled. Changes that discovery sent during the stall may still
     * be unread, but this process is deemed notified of them.
     *
     * @param sinceUs time since which nothing from discovery was read
     */
    void listUnread(long sinceUs);

    /** Reports that everything that arrived during the stall has been read. */
    void listRead(long nowUs);

    /**
     * Reports that discovery has rejected a call at once, which shows that discovery is alive but
     * overloaded.
     */
    void discoveryTurnedAway();

    /**
     * Reports that a connection to discovery was established, even if the call on it fails later.
     */
    void discoveryReached();

    /**
     * Reports that the address of discovery has changed.
     *
     * @param sinceUs the earliest possible time of the change, which is before {@code nowUs} if
     *     this process was stalled
     */
    void discoveryMoved(long nowUs, long sinceUs);

    /**
     * Returns whether requests may be sent to a server now. The caller must call this method just
     * before each write to a server.
     */
    boolean mayReach(long nowUs, String server);

    /** Handles a new request, which must get exactly one final answer. */
    void request(long nowUs, Request request);

    /**
     * Handles the end of an attempt.
     *
     * @param elapsedUs time since the attempt was sent
     * @param ended whether the request is completed, by this outcome or earlier
     * @param report the load that the server reported, or null if it reported none
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
     * Handles the start of a streamed response. The response is the request's final answer, so the
     * attempt has no time-out from now on; the outcome of the attempt tells whether the response
     * was complete.
     */
    void streamStarted(long nowUs, String request, int attempt, String server, long elapsedUs);

    /**
     * Reports that the body of a request is forwarded to the server as it arrives from the client
     * and is not kept, so that the request cannot be sent again. No response is due before {@link
     * #bodyWritten}.
     */
    void bodySpent(long nowUs, String request);

    /**
     * Reports that the body of a request has been sent to the server completely, after {@link
     * #bodySpent} was called for the request. The server's response time starts now.
     */
    void bodyWritten(long nowUs, String request, int attempt);

    /** Handles a client's disconnection, which completes the client's request. */
    void clientGone(long nowUs, String request);

    /** Handles the end of a probe; {@code report} is null if the server sent no load report. */
    void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report);

    /** Reports that a time requested through {@link Actions#wakeAt} has come. */
    void timer(long nowUs);

    /**
     * Returns the number of servers of the current list that are avoided now, because they drain,
     * are in cooldown or are used only if all others are busy.
     */
    int hostsDown(long nowUs);
}
