package spokestall.rim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import spokestall.duty.Sealed;
import spokestall.listing.Listed;
import spokestall.listing.Prober;
import spokestall.wire.Header;

/** How the platform that lists upstreams and takes reports is spoken to, and how an upstream tells its status. */
public interface PlatformSpeech {
    /** One page of the list; next is the target of the one after it, or null. */
    record Page(List<Listed> listed, String next) {}

    /** A report as it goes out. */
    record Report(String target, List<Header> headers, byte[] body) {}

    /** The first page's target. Example: {@code speech.listTarget().equals("/upstreams")} */
    String listTarget();

    /** Reads a page, or null where it is none. Example: {@code speech.page(tree)} */
    Page page(JsonNode tree);

    /** Example: {@code speech.report("d1-core", 17, sealed).target().equals("/usage")} */
    Report report(String holder, long token, Sealed sealed);

    /** Where an upstream tells its status. Example: {@code speech.statusTarget()} */
    String statusTarget();

    /** Reads a status, or null where it is none. Example: {@code speech.status(tree)} */
    Prober.Probe status(JsonNode tree);
}
