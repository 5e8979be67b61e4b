package spokestall.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import spokestall.proxy.AdmissionController;

/**
 * The fields of {@code status} that only an edge has: its requests in flight and how often it returned each result to
 * its clients.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class EdgeStatus implements StatusCalls.RoleStatus {
    private final AdmissionController admissionController;

    EdgeStatus(final AdmissionController admissionController) {
        this.admissionController = admissionController;
    }

    @Override
    public void describe(final ObjectNode status) {
        status.put("open", admissionController.requestsInFlight()).put("heldBytes", admissionController.heldBytes());
        final ObjectNode results = status.putObject("told");
        admissionController
                .resultCounts()
                .forEach((result, count) -> results.put(result.number() + " " + result.name(), count));
    }

    @Override
    public void describeEvacuation(final String zone, final ObjectNode evacuation) {
        // An edge knows only its own requests, so it can't tell whether the whole zone is empty.
    }
}
