package spokestall.consensus;

/**
 * Decides what becomes of a register, given its present value.
 *
 * <p>It may be called several times in one proposal, once for each attempt that reaches its accept phase. An earlier attempt's
 * value may have been chosen meanwhile, so an editor must recognise its own value when it gets it, and must have no side effects
 * that matter if the proposal fails.
 */
@FunctionalInterface
public interface RegisterEditor {
    /**
     * Returns the edit.
     *
     * @param current the present value, or null if the register has none
     */
    RegisterEdit edit(byte[] current);
}
