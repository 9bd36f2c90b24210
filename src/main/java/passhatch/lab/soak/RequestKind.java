package passhatch.lab.soak;

/** The classes of requests that the proxy under test is configured with. */
enum RequestKind {
    LOOKUP("lookup", "GET", 1_500),
    NOTICE("notice", "POST", 1_500),
    SETTLE("settle", "POST", 2_500);

    final String className;
    final String method;

    /** The deadline of the class, in milliseconds. */
    final int deadlineMs;

    RequestKind(String className, String method, int deadlineMs) {
        this.className = className;
        this.method = method;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the head of a request of this class, without its empty line. */
    String head(String id, String query, long timeoutMs) {
        return method
                + " /"
                + className
                + (query.isEmpty() ? "" : "?" + query)
                + " HTTP/1.1\r\nHost: proxy\r\nX-Request-Id: "
                + id
                + "\r\nX-Deadline: "
                + timeoutMs
                + "m\r\n"
                + (this == SETTLE ? "Idempotency-Key: " + id + "\r\n" : "");
    }
}
