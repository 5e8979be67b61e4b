/**
 * Messages between nodes and their encoding.
 *
 * <p>Owns: the record format with its versions ({@link spokestall.message.MessageCodec}), the interface that sends messages
 * ({@link spokestall.message.MessageSender}) and the few types that messages share.
 *
 * <p>Invariants: a node reads every version up to its own and writes the one that it is told to. Values that are stored keep
 * the first version's fields. A message may be lost, late, repeated or out of order, and every receiver has to stand that.
 *
 * <p>Callers: every package that defines messages or stores values.
 */
package spokestall.message;
