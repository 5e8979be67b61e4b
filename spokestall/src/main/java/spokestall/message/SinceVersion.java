package spokestall.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Marks a field of a record that messages have from a version on: where it is absent, it is read as zero, false or null. A
 * record alone has such fields behind all others, where older programs don't look. */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface SinceVersion {
    /** The first version with it. */
    int value();
}
