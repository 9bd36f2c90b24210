package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import passhatch.Balancer.Effect;
import passhatch.Balancer.RequestClass;
import passhatch.proxy.flow.RequestBody;

/**
 * Parses the head of a client's HTTP request into a {@link ProxyRequest}, or reports why it is
 * invalid.
 */
public final class RequestParser {

    static final String ID_HEADER = "X-Request-Id";
    static final String TENANT_HEADER = "X-Tenant";
    static final String DEADLINE_HEADER = "X-Deadline";
    static final String COST_HINT_HEADER = "X-Cost-Hint";
    static final String RETRY_HEADER = "X-Retry";
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final Pattern DEADLINE_PATTERN =
            Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)([mu])");
    private static final Pattern ID_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final String MALFORMED_DEADLINE = "X-Deadline is malformed";

    /**
     * Thrown if a request is invalid. Contains the status of the response to send to the client.
     */
    static final class BadRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        BadRequestException(HttpResponseStatus status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenants;

    public RequestParser(
            List<RequestClass> classes, List<String> classNames, List<String> tenants) {
        this.classes = classes;
        this.classNames = classNames;
        this.tenants = tenants;
    }

    /** Parses the head of a request, and returns the request with the given body. */
    ProxyRequest parse(HttpRequest http, RequestBody body) throws BadRequestException {
        if (http.decoderResult().isFailure()) {
            throw badRequest(
                    "the request is not HTTP: " + http.decoderResult().cause().getMessage());
        }
        String transferEncoding =
                String.join(",", http.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
        if (!transferEncoding.isEmpty() && !transferEncoding.strip().equalsIgnoreCase("chunked")) {
            throw badRequest("Transfer-Encoding is not chunked");
        }
        int requestClass = findRequestClass(http);
        HttpHeaders headers = http.headers();
        String id = headers.get(ID_HEADER, "");
        if (!ID_PATTERN.matcher(id).matches()) {
            throw badRequest("X-Request-Id is missing or malformed");
        }
        long timeoutUs =
                parseTimeoutUs(
                        headers.get(DEADLINE_HEADER), classes.get(requestClass).deadlineUs());
        return new ProxyRequest(
                id,
                requestClass,
                findTenant(headers.get(TENANT_HEADER)),
                timeoutUs,
                parseCostHintUs(headers.get(COST_HINT_HEADER)),
                "1".equals(headers.get(RETRY_HEADER)),
                http.method(),
                http.uri(),
                headers.get(IDEMPOTENCY_KEY_HEADER),
                body);
    }

    /**
     * Returns the index of the request class that is named by the first segment of the path. The
     * effect of this class must match the HTTP method and the presence of an Idempotency-Key.
     */
    private int findRequestClass(HttpRequest http) throws BadRequestException {
        String path = new QueryStringDecoder(http.uri()).rawPath();
        int segmentEnd = path.indexOf('/', 1);
        int index =
                path.startsWith("/")
                        ? findClassIndex(
                                path.substring(1, segmentEnd < 0 ? path.length() : segmentEnd))
                        : -1;
        if (index < 0) {
            throw new BadRequestException(HttpResponseStatus.NOT_FOUND, "the path names no class");
        }
        Effect effect =
                http.method().equals(HttpMethod.GET)
                        ? Effect.SAFE
                        : !http.method().equals(HttpMethod.POST)
                                ? null
                                : http.headers().contains(IDEMPOTENCY_KEY_HEADER)
                                        ? Effect.KEYED
                                        : Effect.UNSAFE;
        if (effect != classes.get(index).effect()) {
            throw badRequest("the method or Idempotency-Key does not match the class");
        }
        return index;
    }

    /**
     * Returns the index of the request class that a path segment names, or -1 if there is no such
     * class. Characters of a class's name that a path must not contain are percent-encoded in the
     * segment (RFC 3986, section 2.1).
     */
    private int findClassIndex(String segment) {
        int unescaped = classNames.indexOf(segment);
        try {
            return unescaped >= 0
                    ? unescaped
                    : classNames.indexOf(
                            URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException malformed) {
            return -1;
        }
    }

    private int findTenant(String name) throws BadRequestException {
        if (name == null || tenants.isEmpty()) {
            return 0;
        }
        int tenant = tenants.indexOf(name);
        if (tenant < 0) {
            throw badRequest("X-Tenant is not known");
        }
        return tenant;
    }

    private static long parseTimeoutUs(String text, long defaultUs) throws BadRequestException {
        if (text == null) {
            return defaultUs;
        }
        Matcher parts = DEADLINE_PATTERN.matcher(text.strip());
        if (!parts.matches()) {
            throw badRequest(MALFORMED_DEADLINE);
        }
        return (long)
                (Double.parseDouble(parts.group(1)) * (parts.group(2).equals("m") ? 1000 : 1));
    }

    /** Returns the cost hint in microseconds; 0 if the header is missing or malformed. */
    private static long parseCostHintUs(String text) {
        try {
            return text == null ? 0 : Math.max(0, (long) Double.parseDouble(text));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    private static BadRequestException badRequest(String message) {
        return new BadRequestException(HttpResponseStatus.BAD_REQUEST, message);
    }
}
