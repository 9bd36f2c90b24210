import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy, started by the deploy file's "run" with settings like those of the site jackson-claims. */
final class Proxy {
    final Kit kit;
    final String name;
    final int port;
    final int controlPort;
    final Path tmp;
    Process process;

    Proxy(Kit kit, String name) throws IOException {
        this.kit = kit;
        this.name = name;
        this.port = Kit.freeTcpPort();
        this.controlPort = Kit.freeTcpPort();
        this.tmp = Files.createDirectories(kit.temp.resolve(name + "-tmp"));
    }

    private static String category(
            String name, String effect, long aimMs, long deadlineMs, double worth, String group) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"goalTimeUs\":" + aimMs
                + "000,\"deadlineUs\":" + deadlineMs + "000,\"worth\":" + worth
                + ",\"lateWorth\":0.4,\"group\":\"" + group + "\",\"dedupWindowUs\":6000000,"
                + "\"stream\":false}";
    }

    /** Writes the configuration. {@code known} is a list in discovery's form, or null. */
    void configure(int discoveryPort, String mode, int proxies, int me, String known)
            throws IOException {
        String settings =
                "{\"balancers\":" + proxies + ",\"me\":" + me + ",\"categories\":["
                        + category("policy-lookup", "pure", 400, 1_500, 3, "all") + ","
                        + category("loss-notice", "side_effect", 500, 1_500, 3, "all") + ","
                        + category("claim-settle", "token", 1_500, 4_000, 9, "zone") + "],"
                        + "\"clientHabits\":{\"marksRetry\":false},\"dcs\":[\"a\"],"
                        + "\"machineTypes\":[\"m\"],\"discovery\":\"" + mode + "\",\"family\":\"chain\","
                        + "\"fees\":{\"crossZone\":0.012,\"probe\":0.0},\"layer\":0,"
                        + "\"layers\":[\"claims-front\",\"policy-records\"],"
                        + "\"limits\":{\"cancel\":true,\"connectTimeoutUs\":150000,"
                        + "\"keepaliveUs\":10000000,\"maxAttempts\":3,\"maxOpen\":20000,"
                        + "\"maxRetryAfterUs\":2000000,\"maxStreams\":1,\"mayDuplicate\":true,"
                        + "\"peers\":true,\"probes\":false,\"retryAfter\":true},\"locality\":0,"
                        + "\"overShareWorth\":0.2,\"resolutionUs\":5000,"
                        + "\"rules\":{\"answerSlackUs\":20000,\"askEveryUs\":10000000,\"coldFrom\":0.14,"
                        + "\"coldUs\":21000000,\"drainGraceUs\":750000,\"overloadForUs\":2000000,"
                        + "\"tipMultiple\":2.5},"
                        + "\"tenants\":[{\"name\":\"magnolia-mutual\",\"quotaPerS\":250.0,\"share\":1.0}]}";
        Files.writeString(
                kit.temp.resolve(name + ".json"),
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                        + "\",\"seed\":\"8c1f30d27a5be96" + me + "\",\"control\":\"127.0.0.1:" + controlPort
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + (known == null ? "" : "\"known\":" + known + ",")
                        + "\"settings\":" + settings + "}\n");
    }

    /** Starts the proxy by the command that the deploy file gives as "run". */
    void start(int discoveryPort) throws IOException, Kit.NotRun {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new Kit.NotRun("the deploy file has no run");
        }
        process =
                kit.start(
                        name,
                        Map.of(
                                "PROXY_NAME", name,
                                "PROXY_LISTEN", "127.0.0.1:" + port,
                                "PROXY_DISCOVERY", "127.0.0.1:" + discoveryPort,
                                "PROXY_CONTROL", "127.0.0.1:" + controlPort,
                                "PROXY_CONFIG", kit.temp.resolve(name + ".json").toString(),
                                "TMPDIR", tmp.toString()),
                        "/bin/sh",
                        "-c",
                        run.group(1));
    }

    void awaitReady() throws Exception {
        Kit.await(
                name + " is ready",
                30_000,
                () -> Kit.ask(controlPort, "check").startsWith("done"));
    }
}
