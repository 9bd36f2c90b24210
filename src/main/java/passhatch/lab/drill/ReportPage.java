package passhatch.lab.drill;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.Outcome;

/**
 * Writes the report of a run as one HTML file. The report contains the result, charts of request
 * rates and latency with the times of faults, and all events.
 */
final class ReportPage {

    private static final int CHART_WIDTH = 1000;
    private static final int CHART_HEIGHT = 260;

    private ReportPage() {}

    static void write(
            Path file,
            Scenario scenario,
            Result result,
            LoadStats loadStats,
            List<EventFile.Event> events)
            throws IOException {
        StringBuilder page =
                new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                        .append(escape(scenario.name()))
                        .append("</title><style>body{font:14px sans-serif;max-width:1040px;")
                        .append(
                                "margin:2em"
                                    + " auto}table{border-collapse:collapse}td,th{text-align:left;")
                        .append(
                                "padding:2px 12px;border-bottom:1px solid"
                                        + " #ddd}.bad{color:#b00}</style><h1>")
                        .append(escape(scenario.name()))
                        .append("</h1><p>")
                        .append(escape(scenario.about()))
                        .append("</p><h2>")
                        .append(
                                result.meetsExpectations()
                                        ? "All that was expected holds"
                                        : "<span class=bad>Not as expected</span>")
                        .append("</h2><ul class=bad>");
        result.broken().forEach(b -> page.append("<li>").append(escape(b)));
        if (result.invalid() != null) {
            page.append("<li>").append(escape(result.invalid()));
        }
        page.append("</ul>");
        List<Double> faultTimes =
                events.stream()
                        .filter(e -> e.type().equals("fault"))
                        .map(e -> e.atMs() / 1e3)
                        .toList();
        page.append(toSvg(rateChart(loadStats, faultTimes)))
                .append(toSvg(latencyChart(loadStats, faultTimes)));
        appendTable(page, "Requests", result.counts());
        appendTable(page, "Latency from when they were due, ms", result.latencyMs());
        appendTable(page, "Sent later than due, ms", result.behindMs());
        appendTable(page, "Ready after a start, ms", result.readyMs());
        page.append("<h2>Recovery</h2><table><tr><th>fault<th>at, ms<th>back at 95 % after, ms");
        result.recoveries()
                .forEach(
                        r ->
                                page.append("<tr><td>")
                                        .append(escape(r.fault()))
                                        .append("<td>")
                                        .append(r.atMs())
                                        .append("<td>")
                                        .append(r.ms() == null ? "not back" : r.ms()));
        page.append("</table><h2>Events</h2><table>");
        events.forEach(
                e ->
                        page.append("<tr><td>")
                                .append(e.atMs())
                                .append("<td>")
                                .append(escape(e.type()))
                                .append("<td>")
                                .append(escape(String.valueOf(e.details()))));
        Files.writeString(file, page.append("</table>"));
    }

    private static void appendTable(
            StringBuilder page, String title, Map<String, ? extends Number> rows) {
        page.append("<h2>").append(title).append("</h2><table>");
        rows.forEach(
                (name, value) ->
                        page.append("<tr><td>").append(escape(name)).append("<td>").append(value));
        page.append("</table>");
    }

    private static XYChart rateChart(LoadStats loadStats, List<Double> faultTimes) {
        XYChart chart = createChart("requests a second");
        double perSecond = 1_000.0 / LoadStats.STEP_MS;
        addSeries(chart, "offered", loadStats, s -> s.offered() * perSecond, Color.LIGHT_GRAY);
        addSeries(
                chart,
                "served",
                loadStats,
                s -> s.count(Outcome.SERVED) * perSecond,
                new Color(0x2a7f3f));
        addSeries(
                chart,
                "late",
                loadStats,
                s -> s.count(Outcome.LATE) * perSecond,
                new Color(0xd9a400));
        addSeries(
                chart,
                "refused or failed",
                loadStats,
                s -> (s.count(Outcome.REFUSED) + s.count(Outcome.FAILED)) * perSecond,
                new Color(0xc04000));
        addSeries(
                chart,
                "cut, lost or spoilt",
                loadStats,
                s ->
                        (s.count(Outcome.CUT) + s.count(Outcome.LOST) + s.count(Outcome.SPOILT))
                                * perSecond,
                new Color(0x600060));
        addFaultLines(
                chart,
                faultTimes,
                loadStats.steps().stream()
                        .mapToDouble(s -> s.offered() * perSecond)
                        .max()
                        .orElse(1));
        return chart;
    }

    private static XYChart latencyChart(LoadStats loadStats, List<Double> faultTimes) {
        XYChart chart = createChart("latency, ms");
        addSeries(
                chart,
                "median",
                loadStats,
                s -> s.latencyUs().getValueAtPercentile(50) / 1e3,
                new Color(0x2a7f3f));
        addSeries(
                chart,
                "99th percentile",
                loadStats,
                s -> s.latencyUs().getValueAtPercentile(99) / 1e3,
                new Color(0xc04000));
        addFaultLines(
                chart,
                faultTimes,
                loadStats.steps().stream()
                        .mapToDouble(s -> s.latencyUs().getValueAtPercentile(99) / 1e3)
                        .max()
                        .orElse(1));
        return chart;
    }

    private static XYChart createChart(String title) {
        XYChart chart =
                new XYChartBuilder()
                        .width(CHART_WIDTH)
                        .height(CHART_HEIGHT)
                        .title(title)
                        .xAxisTitle("seconds")
                        .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE).setLegendVisible(true);
        return chart;
    }

    private static void addSeries(
            XYChart chart,
            String name,
            LoadStats loadStats,
            ToDoubleFunction<LoadStats.Step> value,
            Color color) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (int i = 0; i < loadStats.steps().size(); i++) {
            x.add((i + 0.5) * LoadStats.STEP_MS / 1e3);
            y.add(value.applyAsDouble(loadStats.steps().get(i)));
        }
        if (!x.isEmpty()) {
            applyStyle(chart.addSeries(name, x, y), color);
        }
    }

    /** Draws a vertical line at the time of each fault. */
    private static void addFaultLines(XYChart chart, List<Double> faultTimes, double top) {
        for (int i = 0; i < faultTimes.size(); i++) {
            XYSeries line =
                    chart.addSeries(
                            "fault " + (i + 1),
                            List.of(faultTimes.get(i), faultTimes.get(i)),
                            List.of(0.0, Math.max(top, 1e-3)));
            applyStyle(line, new Color(0x3060c0));
            line.setShowInLegend(false);
        }
    }

    private static void applyStyle(XYSeries series, Color color) {
        series.setMarker(SeriesMarkers.NONE).setLineColor(color).setLineWidth(1.5f);
    }

    private static String toSvg(XYChart chart) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        String svg = bytes.toString(StandardCharsets.UTF_8);
        return svg.substring(svg.toLowerCase(Locale.ROOT).indexOf("<svg"));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\n", "<br>");
    }
}
