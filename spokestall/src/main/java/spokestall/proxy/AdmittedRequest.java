package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.configuration.ServiceLimits;

/** An ask that was let in and has its place. From here on its deadline runs, and its final answer comes by the callback
 * that was given with it, once. All of it is called on the stage. */
public interface AdmittedRequest {
    /** The bounds it was let in by. Example: {@code receiver.setMaxBufferSize(ask.rule().askMaxBytes());} */
    ServiceLimits rule();

    /** Its whole body is here. Example: {@code ask.run(body);} */
    void run(byte[] body);

    /** Its body can't be had. Example: {@code ask.drop(ResultCode.TOO_LARGE);} */
    void drop(ResultCode why);

    /** Its caller's wire is gone: what may still be stopped is stopped. Example: {@code ask.gone();} */
    void gone();

    /** Its answer is out, or can't get out: its bytes count no longer. Example: {@code ask.written();} */
    void written();
}
