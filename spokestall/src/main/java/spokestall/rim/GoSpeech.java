package spokestall.rim;

import java.util.List;
import spokestall.edge.Go;
import spokestall.edge.GoResult;
import spokestall.wire.Header;

/** How upstreams are spoken to: names and forms, nothing that decides. */
public interface GoSpeech {
    /** All headers of a go, but for its host's and its framing. Example: {@code speech.headers(go)} */
    List<Header> headers(Go go);

    /** What an upstream's whole answer means. Example: {@code speech.judge(go, whole) instanceof GoResult.NotRun} */
    GoResult judge(Go go, HttpResult.Whole whole);
}
