package spokestall.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

@ExtendWith(RestoreMessageNumbersExtension.class)
class MessageRegistryTest {
    record First() implements Message {}

    record Second() implements Message {}

    @Test
    void aTypeIsFoundByItsNumberAndTheNumberByItsType() {
        MessageRegistry.register(251, First.class);
        MessageRegistry.register(251, First.class);
        assertThat(MessageRegistry.type(251)).isEqualTo(First.class);
        assertThat(MessageRegistry.number(First.class)).isEqualTo(251);
    }

    @Test
    void rejectsNumbersOutOfRangeOrInUseAndUnregisteredTypes() {
        MessageRegistry.register(252, First.class);
        assertThatThrownBy(() -> MessageRegistry.register(252, Second.class)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> MessageRegistry.register(0, Second.class)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> MessageRegistry.register(256, Second.class)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> MessageRegistry.number(Second.class)).isInstanceOf(IllegalStateException.class);
    }
}
