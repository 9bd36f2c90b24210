package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The results of the regression script, with stand-in programs for the operators' kit. */
@Timeout(60)
final class RegressionScriptTest {

    private static final String OPERATIONS_TOOL = "more/ops/bin/lbreal";
    private static final String FLEET_TOOL = "more/mass/bin/lbreal";
    private static final String MODULE_TOOL = "bin/lbsim";

    @TempDir Path kit;
    private final Map<String, String> environment = new HashMap<>();

    /** Exit status and output of the script. */
    private record Verdict(int status, String text) {}

    /** Adds a program to the kit that records its arguments, prints a text and exits. */
    private void writeProgram(String name, String output, int status) throws IOException {
        Path file = kit.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(
                file,
                "#!/bin/sh\necho \""
                        + name
                        + " $*\" >> "
                        + kit.resolve("calls")
                        + "\necho '"
                        + output
                        + "'\nexit "
                        + status
                        + "\n");
        assertTrue(file.toFile().setExecutable(true));
    }

    private void writeKit() throws IOException {
        writeProgram(OPERATIONS_TOOL, "upgrade  G 0.9  score 0.95", 0);
        writeProgram(FLEET_TOOL, "GATE passed", 0);
        writeProgram(MODULE_TOOL, "quick estimate 0.86", 0);
        Files.createDirectories(kit.resolve("sites"));
        Files.writeString(kit.resolve("sites/jackson-claims.toml"), "");
    }

    private Verdict run(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("tools/regression.sh"));
        command.addAll(List.of(arguments));
        ProcessBuilder script = new ProcessBuilder(command).redirectErrorStream(true);
        script.environment().put("KIT", kit.toString());
        script.environment().putAll(environment);
        Process process = script.start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        return new Verdict(process.exitValue(), text);
    }

    private List<String> calls() throws IOException {
        String site = kit.resolve("sites/jackson-claims.toml").toString();
        return Files.readAllLines(kit.resolve("calls")).stream()
                .map(line -> line.replace(" " + site, "").replaceAll(" --why.*", ""))
                .toList();
    }

    @Test
    void runsEachPanelInOrder() throws Exception {
        writeKit();
        Verdict verdict = run("--quick");
        assertEquals(0, verdict.status(), verdict.text());
        assertEquals(
                List.of(
                        OPERATIONS_TOOL + " score --quick",
                        OPERATIONS_TOOL + " score --panel later --quick",
                        FLEET_TOOL + " score --quick",
                        FLEET_TOOL + " score --panel brink --seed 1",
                        FLEET_TOOL
                                + " score "
                                + kit.resolve("more/mass/other/kelowna-main.toml")
                                + " --panel brink",
                        FLEET_TOOL
                                + " score "
                                + kit.resolve("more/mass/other/kelowna-main.toml")
                                + " --quick",
                        FLEET_TOOL + " score deploy/sites/long-single.toml --panel brink",
                        FLEET_TOOL + " score deploy/sites/long-single.toml --quick",
                        FLEET_TOOL + " score deploy/sites/short-pushed.toml --panel brink",
                        FLEET_TOOL + " score deploy/sites/short-pushed.toml --quick",
                        MODULE_TOOL + " score --quick"),
                calls());
    }

    @Test
    void runsTheBrinkPanelOnEachSeed() throws Exception {
        writeKit();
        environment.put("SEEDS", "3 7");
        assertEquals(0, run("brink").status());
        assertEquals(
                List.of(
                        FLEET_TOOL + " score --panel brink --seed 3",
                        FLEET_TOOL + " score --panel brink --seed 7"),
                calls());
        writeProgram(FLEET_TOOL, "GATE failed: drain", 0);
        assertEquals(1, run("brink").status());
        writeProgram(FLEET_TOOL, "nothing of a gate", 0);
        assertEquals(1, run("sites").status());
    }

    @Test
    void runsOnlyTheNamedPanels() throws Exception {
        writeKit();
        assertEquals(0, run("module", "ops").status());
        assertEquals(List.of(MODULE_TOOL + " score", OPERATIONS_TOOL + " score"), calls());
    }

    @Test
    void reportsAMissingKit() throws Exception {
        Verdict verdict = run();
        assertEquals(2, verdict.status());
        assertTrue(verdict.text().contains("no kit"), verdict.text());
    }

    @Test
    void failsIfARunFailsARuleIsBrokenOrTheGateFails() throws Exception {
        writeKit();
        writeProgram(OPERATIONS_TOOL, "cannot build", 3);
        assertEquals(1, run("ops").status());
        writeProgram(OPERATIONS_TOOL, "upgrade  G 0.9  score 0.00  BROKEN: lost", 0);
        Verdict broken = run();
        assertEquals(1, broken.status());
        assertTrue(broken.text().contains("FAILED: ops, jackson-claims (BROKEN)"), broken.text());
        assertTrue(
                calls().contains(MODULE_TOOL + " score"), "the other panels are run all the same");
        writeProgram(MODULE_TOOL, "rules: broken on overload", 0);
        assertEquals(1, run("module").status());
        writeProgram(FLEET_TOOL, "GATE failed: herd", 0);
        assertEquals(1, run("fleet").status());
        writeProgram(FLEET_TOOL, "nothing of a gate", 0);
        assertEquals(1, run("fleet").status());
    }

    @Test
    void anUnknownArgumentIsAnError() throws Exception {
        writeKit();
        assertEquals(2, run("all").status());
    }
}
