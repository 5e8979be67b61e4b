package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.storage.SegmentedLog;

/** Register state that an acceptor's storage returns before a write is synced, after it, and after a restart. */
class AcceptorStorageTest {
    private static final String KEY = "count";
    private static final Register FIRST = register(1);
    private static final Register SECOND = register(2);
    private final PausableSegmentStore disk = new PausableSegmentStore();
    private final AcceptorStorage storage = open();

    private static Register register(final int count) {
        final ProposalNumber number = new ProposalNumber(count, "p#1");
        return new Register(number, number, new byte[] {(byte) count});
    }

    private AcceptorStorage open() {
        return new AcceptorStorage(new SegmentedLog(disk), "disk-0");
    }

    @Test
    void theSyncedStateOfARegisterWithAnUnsyncedWriteIsThePreviousOne() {
        storage.writeRegister(KEY, FIRST, WriteCallback.IGNORED);
        disk.pause();
        storage.writeRegister(KEY, SECOND, WriteCallback.IGNORED);
        assertThat(storage.register(KEY)).isSameAs(SECOND);
        assertThat(storage.syncedRegister(KEY)).isSameAs(FIRST);
        disk.completePending();
        assertThat(storage.syncedRegister(KEY)).isSameAs(SECOND);
    }

    @Test
    void theSyncedStateOfANewUnsyncedRegisterIsEmpty() {
        disk.pause();
        storage.writeRegister(KEY, FIRST, WriteCallback.IGNORED);
        assertThat(storage.register(KEY)).isSameAs(FIRST);
        assertThat(storage.syncedRegister(KEY)).isSameAs(Register.EMPTY);
    }

    @Test
    void listenersAreCalledBeforeTheCallbackOnceARegisterIsSynced() {
        final List<String> calls = new ArrayList<>();
        storage.addListener((key, register) -> calls.add("listener " + key));
        disk.pause();
        storage.writeRegister(KEY, FIRST, synced -> calls.add("callback " + synced));
        assertThat(calls).isEmpty();
        disk.completePending();
        assertThat(calls).containsExactly("listener " + KEY, "callback true");
    }

    @Test
    void aRegisterIsRolledBackIfTheDiskHasNoCapacityForIt() {
        final List<Boolean> results = new ArrayList<>();
        storage.writeRegister(KEY, FIRST, WriteCallback.IGNORED);
        final ProposalNumber number = SECOND.accepted();
        storage.writeRegister(KEY, new Register(number, number, new byte[1 << 20]), results::add);
        assertThat(results).containsExactly(false);
        assertThat(storage.register(KEY)).isSameAs(FIRST);
        assertThat(storage.syncedRegister(KEY)).isSameAs(FIRST);
    }

    @Test
    void aMergeKeepsTheHigherPromiseAndTheValueWithTheHigherAcceptedNumber() {
        final ProposalNumber high = new ProposalNumber(9, "p#2");
        storage.writeRegister(KEY, new Register(high, FIRST.accepted(), FIRST.value()), WriteCallback.IGNORED);
        storage.mergeRegister(KEY, SECOND);
        assertThat(storage.register(KEY)).isEqualTo(new Register(high, SECOND.accepted(), SECOND.value()));
    }

    @Test
    void theVersionFloorIsRaisedOnlyOnceItIsSynced() {
        final List<Long> floors = new ArrayList<>();
        disk.pause();
        storage.raiseVersionFloor(7, () -> floors.add(storage.versionFloor()));
        assertThat(storage.versionFloor()).isZero();
        disk.completePending();
        assertThat(floors).containsExactly(7L);
        storage.raiseVersionFloor(7, () -> floors.add(-1L));
        assertThat(floors).containsExactly(7L);
    }

    @Test
    void syncedStateIsReadBackAfterARestart() {
        assertThat(storage.openedBlank()).isTrue();
        storage.writeRegister(KEY, FIRST, WriteCallback.IGNORED);
        storage.writeCaughtUp(3, WriteCallback.IGNORED);
        final AcceptorStorage restarted = open();
        assertThat(restarted.openedBlank()).isFalse();
        assertThat(restarted.register(KEY).accepted()).isEqualTo(FIRST.accepted());
        assertThat(restarted.isCaughtUp(3)).isTrue();
        assertThat(restarted.isCaughtUp(4)).isFalse();
        assertThat(restarted.hasEverCaughtUp()).isTrue();
    }

    @Test
    void aFreshIdentityHasNeverCaughtUp() {
        storage.writeCaughtUp(3, WriteCallback.IGNORED);
        storage.writeDiskId("disk-1");
        assertThat(storage.isCaughtUp(3)).isFalse();
        assertThat(storage.hasEverCaughtUp()).isFalse();
    }
}
