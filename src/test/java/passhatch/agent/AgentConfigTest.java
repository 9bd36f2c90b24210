package passhatch.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.agent.config.InvalidInputException;

class AgentConfigTest {

    private static final String AGENT =
            """
            [agent]
            control = "127.0.0.1:9911"
            store = "here"
            """;
    private static final String FLEET =
            """
            [fleet]
            name = "jackson"
            self = "n1"
            listen = "127.0.0.1:7946"
            members = ["127.0.0.1:7946", "127.0.0.1:7947"]
            """;

    @TempDir private Path folder;

    private AgentConfig read(String text, Map<String, String> env) throws IOException {
        return AgentConfig.read(Files.writeString(folder.resolve("a.toml"), text), env);
    }

    @Test
    void missingKeysTakeDefaultsOrPlatformValues() throws IOException {
        assertNull(read(AGENT, Map.of()).fleet());
        AgentConfig.Fleet fleet = read(AGENT + FLEET, Map.of()).fleet();
        assertEquals(0, fleet.ownAddressIndex());
        assertEquals("proxy", fleet.roles());
        Path platform =
                Files.writeString(
                        folder.resolve("config.json"),
                        """
                        {"peer_listen": "127.0.0.1:7947", "peers": ["127.0.0.1:7946", "127.0.0.1:7947"]}\
                        """);
        AgentConfig.Fleet fromPlatform =
                read(
                                AGENT + "[fleet]\nname = \"jackson\"\n",
                                Map.of("PROXY_NAME", "n2", "PROXY_CONFIG", platform.toString()))
                        .fleet();
        assertEquals("n2", fromPlatform.self());
        assertEquals(1, fromPlatform.ownAddressIndex());
        assertFalse(fromPlatform.equalsExceptMembers(fleet));
        assertTrue(
                fleet.equalsExceptMembers(
                        read(AGENT + FLEET.replace(", \"127.0.0.1:7947\"", ""), Map.of()).fleet()));
    }

    /** Each message is one line with the file, the key and what was expected. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "store = \"here\"            |                             | agent.store: expected",
                "control = \"127.0.0.1:9911\" | control = \"nowhere\"       | agent.control:"
                        + " 'nowhere'",
                "name = \"jackson\"          |                             | fleet.name: expected",
                "name = \"jackson\"          | name = \"a name that is too long\" | fleet.name:"
                        + " expected",
                "self = \"n1\"               |                             | fleet.self: expected",
                "self = \"n1\"               | self = \"n 1\"              | fleet.self: expected",
                "self = \"n1\"               | slef = \"n1\"               | fleet.slef: unknown"
                        + " key",
                "listen = \"127.0.0.1:7946\" |                             | fleet.listen:"
                        + " expected",
                "127.0.0.1:7947              | 127.0.0.1:7946              | fleet.members:"
                        + " expected each",
                "127.0.0.1:7947              | 127.0.0.1                   | fleet.members:"
                        + " '127.0.0.1'",
                "self = \"n1\"               | self = \"n1\"\\n"
                        + "period = \"1ms\"   | fleet.period: expected 50ms",
                "self = \"n1\"               | self = \"n1\"\\n"
                        + "period = \"soon\"  | fleet.period: 'soon'",
                "self = \"n1\"               | self = \"n1\"\\n"
                        + "own = \"127.0.0.1:1\" | fleet.own: expected one of",
                "self = \"n1\"               | self = \"n1\"\\n"
                        + "bytes_per_second = 9 | fleet.bytes_per_second: ",
                "self = \"n1\"               | self = \"n1\"\\n"
                        + "forget_after = \"1s\" | fleet.forget_after: expected",
                "[fleet]                     | [fleet                      | a.toml:4: not TOML"
            })
    void invalidFileIsReportedWithItsKey(String from, String to, String expected) {
        String text = (AGENT + FLEET).replace(from, to == null ? "" : to.replace("\\n", "\n"));
        InvalidInputException invalid =
                assertThrows(InvalidInputException.class, () -> read(text, Map.of()));
        assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
        assertEquals(1, invalid.getMessage().lines().count());
    }

    private static final String REPLICA =
            AGENT
                    + FLEET
                    + """
                    [duties]
                    voters = ["n1", "n2", "n3"]
                    [changes]
                    role = "replica"
                    listen = "127.0.0.1:7950"
                    replicas = ["127.0.0.1:7950", "127.0.0.1:7951", "127.0.0.1:7952"]
                    """;
    private static final String SUBSCRIBER =
            AGENT
                    + FLEET
                    + """
                    [changes]
                    role = "subscriber"
                    listen = "127.0.0.1:7950"
                    sources = ["127.0.0.1:7951"]
                    services = ["claims", "rates"]
                    """;

    @Test
    void changesSectionIsRead() throws IOException {
        ChangesConfig replica = read(REPLICA, Map.of()).changes();
        assertEquals(1, replica.epoch());
        assertEquals(3, replica.replicas().size());
        assertEquals(
                "subscriber", ChangesConfig.label(read(SUBSCRIBER, Map.of()).changes().role()));
        assertNull(read(AGENT + FLEET, Map.of()).changes());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "true  | \"replica\"      | \"leader\"    | changes.role: expected \"replica\"",
                "true  | voters = [\"n1\" | voters = [\"n4\" | duties.voters: expected n1 among",
                "true  | [\"127.0.0.1:7950\", \"127.0.0.1:7951\" | [\"127.0.0.1:7950\""
                        + " | changes.replicas: expected the addresses of three",
                "true  | 127.0.0.1:7952   | 127.0.0.1:7951 | changes.replicas: expected each",
                "true  | = \"127.0.0.1:7950\" | = \"127.0.0.1:7953\""
                        + " | changes.replicas: expected changes.listen among",
                "true  | = \"127.0.0.1:7950\" | = \"127.0.0.1:7946\""
                        + " | changes.listen: expected another address",
                "true  | role = \"replica\" | role = \"replica\"\\nepoch = 0"
                        + " | changes.epoch: expected 1",
                "true  | role = \"replica\" | role = \"replica\"\\nservices = [\"a\"]"
                        + " | changes.services: expected none",
                "false | \"subscriber\"   | \"replica\"   | changes.role: expected a part [duties]",
                "false | \"subscriber\"   | \"relay\"     | changes.services: expected none",
                "false | [\"127.0.0.1:7951\"] | [] | changes.sources: expected 1 to",
                "false | [\"127.0.0.1:7951\"] | [\"here\"] | changes.sources: 'here'",
                "false | [\"127.0.0.1:7951\"] | [\"127.0.0.1:7950\"]"
                        + " | changes.sources: expected other",
                "false | \"claims\"       | \"Claims!\"   | changes.services: expected names",
                "false | services         | servces        | changes.servces: unknown key",
                "false | [changes]        | [duties]\\n"
                        + "voters = [\"a\", \"b\", \"c\"]\\n"
                        + "wanted = [\"changes\"]\\n"
                        + "[changes] | duties.wanted: expected no 'changes'"
            })
    void invalidChangesSectionIsReportedWithItsKey(
            boolean replica, String from, String to, String expected) {
        String text = (replica ? REPLICA : SUBSCRIBER).replace(from, to.replace("\\n", "\n"));
        InvalidInputException invalid =
                assertThrows(InvalidInputException.class, () -> read(text, Map.of()));
        assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
        assertEquals(1, invalid.getMessage().lines().count());
    }
}
