package passhatch.lab.scale;

import java.awt.Color;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import passhatch.lab.scale.MembershipScaleResult.Figure;
import passhatch.lab.scale.MembershipScaleResult.Outcome;
import passhatch.lab.scale.MembershipScaleResult.Size;

/**
 * Plots the bytes a second that one member sends against the size of the fleet, with a series for
 * each figure.
 */
final class MembershipScalePlot {

    private static final int WIDTH_PX = 1000;
    private static final int HEIGHT_PX = 500;
    private static final String UNIT = "bytes/s";

    private MembershipScalePlot() {}

    static void write(Path file, MembershipScaleResult result) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PX)
                        .height(HEIGHT_PX)
                        .title("bytes sent a second by one member")
                        .xAxisTitle("members")
                        .yAxisTitle(UNIT)
                        .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE).setLegendVisible(true);
        result.sizes().stream()
                .flatMap(s -> s.outcomes().stream())
                .flatMap(o -> o.figures().stream())
                .filter(f -> f.unit().equals(UNIT))
                .map(Figure::name)
                .distinct()
                .forEach(name -> addSeries(chart, result, name));
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        try (OutputStream out = Files.newOutputStream(file)) {
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        }
    }

    private static void addSeries(XYChart chart, MembershipScaleResult result, String name) {
        List<Integer> members = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (Size size : result.sizes()) {
            for (Outcome outcome : size.outcomes()) {
                for (Figure figure : outcome.figures()) {
                    if (figure.name().equals(name)) {
                        members.add(size.members());
                        values.add(figure.value());
                    }
                }
            }
        }
        chart.addSeries(name, members, values);
    }
}
