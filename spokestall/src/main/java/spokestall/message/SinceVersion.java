package spokestall.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a field that a record did not have in the first version. Messages of older versions lack it, and it is decoded as zero,
 * false or null: its type is long, int, boolean or one that may be null. In a stored record such fields follow all others, where
 * older programs don't read.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface SinceVersion {
    /** The first version of messages that has the field. */
    int value();
}
