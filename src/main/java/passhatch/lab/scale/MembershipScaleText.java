package passhatch.lab.scale;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import passhatch.lab.scale.MembershipScaleResult.Fit;
import passhatch.lab.scale.MembershipScaleResult.Outcome;
import passhatch.lab.scale.MembershipScaleResult.Size;

/** Prints the result of {@code scale membership} as lines of text. */
final class MembershipScaleText {

    private MembershipScaleText() {}

    /** Prints the figures of one fleet size. */
    static void print(PrintWriter out, Size size) {
        size.outcomes().forEach(outcome -> print(out, size.members(), outcome));
        out.flush();
    }

    /** Prints the lines that were fitted to the figures of all fleet sizes. */
    static void printFits(PrintWriter out, List<Fit> fits) {
        for (Fit fit : fits) {
            out.printf(
                    Locale.ROOT,
                    "fit: %s = %.4g %s + %.4g x members (residual %.3g, %.0f to %.0f);"
                            + " at %d: %.4g%s%n",
                    fit.figure(),
                    fit.line().intercept(),
                    fit.unit(),
                    fit.line().slope(),
                    fit.line().residual(),
                    fit.line().from(),
                    fit.line().to(),
                    fit.target(),
                    fit.atTarget(),
                    fit.extrapolated() ? " (extrapolated)" : "");
        }
        out.flush();
    }

    private static void print(PrintWriter out, int members, Outcome outcome) {
        if (outcome.problem() != null) {
            out.printf(Locale.ROOT, "%6d %s: %s%n", members, outcome.scenario(), outcome.problem());
        }
        outcome.figures()
                .forEach(
                        f ->
                                out.printf(
                                        Locale.ROOT,
                                        "%6d %s: %.2f %s%n",
                                        members,
                                        f.name(),
                                        f.value(),
                                        f.unit()));
    }
}
