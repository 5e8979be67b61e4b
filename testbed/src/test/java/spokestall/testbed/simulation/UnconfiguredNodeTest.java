package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.api.ResultCode;
import spokestall.proxy.AdmissionResult;
import spokestall.proxy.ExecutionStatus;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.OperatorFleet;

/** Requests that reach nodes before these know the first configuration. */
class UnconfiguredNodeTest {
    private static final RequestHead REQUEST =
            new RequestHead("GET", "a.example", "/transfers/status", "key-1", "a1", 2000, 0, List.of());

    @Test
    void aFreshNodeWithoutAConfigurationAnswersToComeBackInsteadOfAnUnknownKeyOrRoute() {
        for (final Deployment deployment : Deployment.values()) {
            final OperatorFleet fleet = new OperatorFleet(1, deployment);
            fleet.nodes().forEach(SimulatedNode::start);
            fleet.awaitFresh();
            for (final SimulatedNode edge : fleet.world.edges()) {
                final AdmissionResult result = edge.node().admissionController().admit(REQUEST, response -> {});
                assertThat(result).isInstanceOf(AdmissionResult.Rejected.class);
                final Response response = ((AdmissionResult.Rejected) result).response();
                assertThat(response.result()).as(edge.name).isEqualTo(ResultCode.NOT_FRESH);
                assertThat(response.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
                assertThat(response.retryAfterMs()).isPositive();
            }
        }
    }
}
