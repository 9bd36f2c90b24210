package passhatch.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Plots the bytes a second that a relay sends and receives against the number of subscribers, with
 * a line for each event.
 */
final class DistributionScalePlot {

    private static final String FIGURE_SUFFIX = ".relay.bytes_per_s";

    private DistributionScalePlot() {}

    static void write(Path file, Map<Integer, Map<String, Double>> sizes) throws IOException {
        Plot plot = new Plot("bytes a second at a relay", "subscribers", "bytes/s");
        for (DistributionEvent event : DistributionEvent.values()) {
            String figure = event.label() + FIGURE_SUFFIX;
            List<Integer> measured =
                    sizes.keySet().stream().filter(n -> sizes.get(n).containsKey(figure)).toList();
            List<Double> values = measured.stream().map(n -> sizes.get(n).get(figure)).toList();
            plot.addLine(event.label(), measured, values);
        }
        plot.write(file);
    }
}
