package passhatch.proxy.client;

/** Whether a client still waits for the response to its request. */
public enum ClientPresence {
    /** The client had not left a moment ago. */
    PRESENT,

    /** The client has closed its connection. */
    GONE,

    /** The client has sent more than may be read now, and it may have left behind that. */
    UNKNOWN
}
