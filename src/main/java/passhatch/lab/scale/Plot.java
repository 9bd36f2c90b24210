package passhatch.lab.scale;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** A plot with a logarithmic x axis, because sizes and rates grow by factors. */
final class Plot {

    private static final int WIDTH_PX = 900;
    private static final int HEIGHT_PX = 500;

    private final XYChart chart;

    Plot(String title, String xAxisTitle, String yAxisTitle) {
        chart =
                new XYChartBuilder()
                        .width(WIDTH_PX)
                        .height(HEIGHT_PX)
                        .title(title)
                        .xAxisTitle(xAxisTitle)
                        .yAxisTitle(yAxisTitle)
                        .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE).setLegendVisible(true);
        chart.getStyler().setXAxisLogarithmic(true);
    }

    /** Adds a line to the plot, unless the line has no points. */
    void addLine(String name, List<? extends Number> x, List<? extends Number> y) {
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y);
        }
    }

    /** Writes the plot to a PNG file, unless the plot has no lines. */
    void write(Path file) throws IOException {
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
