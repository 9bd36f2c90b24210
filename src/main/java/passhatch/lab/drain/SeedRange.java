package passhatch.lab.drain;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * A range of seeds.
 *
 * @param first the first seed, not negative
 * @param last the last seed, inclusive; not below the first
 */
record SeedRange(long first, long last) {

    long count() {
        return last - first + 1;
    }

    LongStream seeds() {
        return LongStream.rangeClosed(first, last);
    }

    /** Parses {@code A..B}, or {@code A} for a single seed. */
    static final class Converter implements ITypeConverter<SeedRange> {

        private static final Pattern RANGE = Pattern.compile("(\\d{1,18})(?:\\.\\.(\\d{1,18}))?");

        @Override
        public SeedRange convert(String text) {
            Matcher range = RANGE.matcher(text);
            if (!range.matches()) {
                throw new TypeConversionException(
                        "'" + text + "' is not a range of seeds such as 0..1999");
            }
            long first = Long.parseLong(range.group(1));
            long last = range.group(2) == null ? first : Long.parseLong(range.group(2));
            if (last < first) {
                throw new TypeConversionException("'" + text + "' ends before it begins");
            }
            return new SeedRange(first, last);
        }
    }
}
