package spokestall.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import spokestall.proxy.AdmissionController;

/**
 * An edge's part of {@code status}: its requests in flight and the results that it gave its clients.
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
        // An edge knows only its own requests, so it can't say when a zone is empty.
    }
}
