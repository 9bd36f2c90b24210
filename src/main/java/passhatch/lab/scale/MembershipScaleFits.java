package passhatch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import passhatch.lab.scale.MembershipScaleResult.Figure;
import passhatch.lab.scale.MembershipScaleResult.Fit;
import passhatch.lab.scale.MembershipScaleResult.Outcome;
import passhatch.lab.scale.MembershipScaleResult.Size;

/** Fits a line to each figure as a function of the fleet size. */
final class MembershipScaleFits {

    private MembershipScaleFits() {}

    /**
     * Returns a line for each figure that was measured at two fleet sizes or more.
     *
     * @param target fleet size for which each fit gives the value of its line
     */
    static List<Fit> fitLines(List<Size> sizes, int target) {
        Map<String, String> units = new LinkedHashMap<>();
        Map<String, TreeMap<Integer, Double>> values = new LinkedHashMap<>();
        for (Size size : sizes) {
            for (Outcome outcome : size.outcomes()) {
                for (Figure figure : outcome.figures()) {
                    units.put(figure.name(), figure.unit());
                    values.computeIfAbsent(figure.name(), n -> new TreeMap<>())
                            .put(size.members(), figure.value());
                }
            }
        }
        List<Fit> fits = new ArrayList<>();
        values.forEach(
                (name, points) -> {
                    if (points.size() >= 2) {
                        fits.add(fitLine(name, units.get(name), points, target));
                    }
                });
        return fits;
    }

    private static Fit fitLine(
            String name, String unit, TreeMap<Integer, Double> points, int target) {
        LinearFit line =
                LinearFit.of(
                        points.keySet().stream().mapToDouble(Integer::doubleValue).toArray(),
                        points.values().stream().mapToDouble(Double::doubleValue).toArray());
        return new Fit(name, unit, line, target, line.at(target), line.extrapolates(target));
    }
}
