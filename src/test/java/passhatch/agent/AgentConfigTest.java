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
import passhatch.agent.config.BadInput;

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
    void whatIsLeftOutHasAValueOrComesFromThePlatform() throws IOException {
        assertNull(read(AGENT, Map.of()).fleet());
        AgentConfig.Fleet fleet = read(AGENT + FLEET, Map.of()).fleet();
        assertEquals(0, fleet.own());
        assertEquals("proxy", fleet.roles());
        Path platform =
                Files.writeString(
                        folder.resolve("config.json"),
                        """
                        {"peer_listen": "127.0.0.1:7947", "peers": ["127.0.0.1:7946", "127.0.0.1:7947"]}\
                        """);
        AgentConfig.Fleet told =
                read(
                                AGENT + "[fleet]\nname = \"jackson\"\n",
                                Map.of("PROXY_NAME", "n2", "PROXY_CONFIG", platform.toString()))
                        .fleet();
        assertEquals("n2", told.self());
        assertEquals(1, told.own());
        assertFalse(told.sameButMembers(fleet));
        assertTrue(
                fleet.sameButMembers(
                        read(AGENT + FLEET.replace(", \"127.0.0.1:7947\"", ""), Map.of()).fleet()));
    }

    /** Each is one line with the file, the key and what was expected. */
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
    void aBadFileIsToldByItsKey(String from, String to, String told) {
        String text = (AGENT + FLEET).replace(from, to == null ? "" : to.replace("\\n", "\n"));
        BadInput bad = assertThrows(BadInput.class, () -> read(text, Map.of()));
        assertTrue(bad.getMessage().contains(told), bad.getMessage());
        assertEquals(1, bad.getMessage().lines().count());
    }
}
