package spokestall.consensus;

/**
 * Computes the next value of a register from its current value.
 *
 * <p>A proposal may call its editor several times, once for each attempt that gets as far as the accept phase. The value of an
 * earlier attempt may have been chosen in the meantime, so an editor must recognise a current value that it set itself. It must
 * have no side effects that matter if the proposal fails.
 */
@FunctionalInterface
public interface RegisterEditor {
    /**
     * Returns the edit for the current value.
     *
     * @param current the current value, or null if the register has none
     */
    RegisterEdit edit(byte[] current);
}
