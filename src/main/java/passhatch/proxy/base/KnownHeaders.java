package passhatch.proxy.base;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Header fields of a received message. Every field is validated, but only those that the proxy uses
 * are kept: a field takes far more memory than the bytes that it was received in, and peers choose
 * how many fields they send.
 */
public final class KnownHeaders extends DefaultHttpHeaders {

    /** Maximum number of fields that are kept. A message that has more is invalid. */
    private static final int MAX_KEPT_FIELDS = 32;

    private static final DefaultHttpHeadersFactory DEFAULT =
            DefaultHttpHeadersFactory.headersFactory();

    private final List<AsciiString> keptNames;
    private int keptFields;

    private KnownHeaders(List<AsciiString> keptNames) {
        super(DEFAULT.getNameValidator(), DEFAULT.getValueValidator());
        this.keptNames = keptNames;
    }

    /**
     * Returns the configuration of a decoder that keeps only the header fields with the given
     * names, and no trailer fields.
     */
    public static HttpDecoderConfig decoderConfig(CharSequence... keptNames) {
        List<AsciiString> names = List.of(keptNames).stream().map(AsciiString::of).toList();
        return new HttpDecoderConfig()
                .setHeadersFactory(new Factory(names))
                .setTrailersFactory(new Factory(List.of()));
    }

    private record Factory(List<AsciiString> keptNames) implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new KnownHeaders(keptNames);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    /**
     * Validates a field, and keeps it if the proxy uses it.
     *
     * @throws IllegalArgumentException if the field is malformed, or too many fields are kept
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (isKept(name)) {
            keptFields++;
            if (keptFields > MAX_KEPT_FIELDS) {
                throw new IllegalArgumentException("too many header fields");
            }
            return super.add(name, value);
        }
        DEFAULT.getNameValidator().validateName(name);
        DEFAULT.getValueValidator().validate((CharSequence) value);
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    private boolean isKept(CharSequence name) {
        for (AsciiString kept : keptNames) {
            if (kept.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
