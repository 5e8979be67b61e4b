package spokestall.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a record field that the first message version doesn't have. Messages of older versions lack the field, and it
 * is decoded as zero, false or null; so its type must be long, int, boolean or a nullable type. In a stored record such
 * fields follow all others, beyond the bytes that older programs read.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface SinceVersion {
    /** The first message version that has the field. */
    int value();
}
