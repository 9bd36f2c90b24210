package passhatch.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * How a backend treats a request, as the request's query tells it. All values are optional.
 *
 * @param workMs time from the request's last byte to the head of the response, in milliseconds
 * @param bytes length of the response's body; 0 for a short body that names the request
 * @param framing how the end of the body is marked
 * @param bodyDelayMs time from the response's head to the first byte of its body, in milliseconds
 * @param pauseMs pause after the first half of the body, in milliseconds
 * @param readRate rate at which the request's body is read, in bytes a second; 0 for no limit
 */
record AnswerPlan(
        long workMs, int bytes, Framing framing, long bodyDelayMs, long pauseMs, int readRate) {

    private static final long DEFAULT_WORK_MS = 4;

    /** How the end of a response's body is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** Returns the plan for a request with the given target. */
    static AnswerPlan of(String target) {
        int queryAt = target.indexOf('?');
        Map<String, String> values =
                Stream.of(queryAt < 0 ? new String[0] : target.substring(queryAt + 1).split("&"))
                        .map(pair -> pair.split("=", 2))
                        .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
        return new AnswerPlan(
                Long.parseLong(values.getOrDefault("work", Long.toString(DEFAULT_WORK_MS))),
                Integer.parseInt(values.getOrDefault("bytes", "0")),
                Framing.valueOf(values.getOrDefault("framing", "LENGTH")),
                Long.parseLong(values.getOrDefault("bodydelay", "0")),
                Long.parseLong(values.getOrDefault("pause", "0")),
                Integer.parseInt(values.getOrDefault("readrate", "0")));
    }

    /** Returns the body of the response to a request. */
    byte[] bodyFor(String id) {
        return bodyFor(id, bytes);
    }

    /** Returns the body that a backend gives to a request that asks for the given length. */
    static byte[] bodyFor(String id, int bytes) {
        byte[] name = ("answer to " + id + "\n").getBytes(StandardCharsets.US_ASCII);
        if (bytes == 0) {
            return name;
        }
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = name[i % name.length];
        }
        return body;
    }
}
