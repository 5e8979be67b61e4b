package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.configuration.ServiceLimits;

/** An ask that was let in and has its place. From here on its deadline runs, and its final answer comes by the callback
 * that was given with it, once. All of it is called on the stage. */
public interface AdmittedRequest {
    /** The bounds it was let in by. */
    ServiceLimits rule();

    /** Its whole body is here. */
    void run(byte[] body);

    /** Its body can't be had. */
    void drop(ResultCode why);

    /** Its client's wire is gone: what may still be stopped is stopped. */
    void gone();

    /** Its answer is out, or can't get out: its bytes count no longer. */
    void written();
}
