package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.nimbusds.jose.jwk.ECKey;
import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.audit.AuditChain;
import spokestall.io.AuditFiles;
import spokestall.testbed.Deployment;
import spokestall.testbed.verdict.FleetJudge;
import spokestall.testbed.verdict.Rule;

/** A fleet of real processes in which a core and an edge are killed while clients send requests. */
class FleetTest {
    @Test
    void aFleetServesWhileACoreAndAnEdgeAreKilledAndStopsCleanly(@TempDir final Path folder) throws Exception {
        try (Fleet fleet = new Fleet(Deployment.PADMA, folder, Deployment.ZONES, 2)) {
            fleet.start();
            final long version = fleet.putConfiguration();
            fleet.awaitReady(version);
            final Process loadGenerator = fleet.startLoadGenerator(10, 0.95);
            Fleet.waitUntil(
                    "requests arrive", 10_000, () -> fleet.ledger().began().size() > 200);
            fleet.members().get("d2-core").process.destroyForcibly().waitFor();
            fleet.members().get("d5-edge").process.destroyForcibly().waitFor();
            assertThat(loadGenerator.waitFor())
                    .as("the load generator's exit code")
                    .isZero();
            assertThat(fleet.ledger().began()).isNotEmpty();
            fleet.start(fleet.members().get("d2-core"));
            fleet.start(fleet.members().get("d5-edge"));
            fleet.awaitReady(version);
            Fleet.waitUntil("the core votes again", 20_000, () -> {
                final JsonNode s = fleet.status(fleet.members().get("d2-core"));
                return s.path("voter").asText().equals("VOTING");
            });
            Fleet.waitUntil(
                    "a window is reported",
                    20_000,
                    () -> !fleet.ledger().reported().isEmpty());
            final FleetJudge judge = new FleetJudge(fleet);
            judge.judgeRun();
            judge.judge()
                    .tallies()
                    .forEach((rule, t) -> assertThat(t.violations)
                            .as(rule + " " + t.firstViolation)
                            .isZero());
            assertThat(judge.judge().tallies().get(Rule.ONCE).checks).isPositive();
            final HttpResponse<String> tooLarge = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create(
                                            "http://" + fleet.members().get("d1-edge").http + "/transfers/status"))
                                    .header("Spokestall-Key", Deployment.key(0))
                                    .header("Spokestall-Ask-Id", "big")
                                    .header("Spokestall-Deadline-Ms", "5000")
                                    .POST(HttpRequest.BodyPublishers.ofInputStream(
                                            () -> new ByteArrayInputStream(new byte[100_000])))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            assertThat(tooLarge.statusCode()).isEqualTo(413);
            assertThat(tooLarge.headers().firstValue("Spokestall-Code")).contains("2007");
            assertThat(fleet.stopAll()).as("stopped cleanly").isTrue();
            final Path audit = folder.resolve("d1-core").resolve("audit");
            final List<String> lines =
                    Files.readAllLines(AuditFiles.files(audit).get(0));
            final ECKey key = ECKey.parse(Files.readString(audit.resolve("public.jwk")));
            assertThat(AuditChain.check(key, lines, true)).isInstanceOf(AuditChain.Verdict.Good.class);
            assertThat(lines.stream()
                            .map(l -> new String(
                                    Base64.getUrlDecoder().decode(l.split("\\.")[1]), StandardCharsets.UTF_8))
                            .toList())
                    .as("the audit log has every kind of decision")
                    .anyMatch(l -> l.contains("\"voters\""))
                    .anyMatch(l -> l.contains("\"first-policy\""))
                    .anyMatch(l -> l.contains("\"lease\""))
                    .anyMatch(l -> l.contains("\"keys\""))
                    .anyMatch(l -> l.contains("\"window\""));
        }
    }
}
