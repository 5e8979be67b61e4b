/**
 * Messages between nodes and their encoding.
 *
 * <p>Owns: the format of messages and stored records and its versions ({@link spokestall.message.MessageCodec}), the
 * numbers of message types ({@link spokestall.message.MessageRegistry}), the interface that sends messages ({@link
 * spokestall.message.MessageSender}) and the few types that several messages share.
 *
 * <p>Invariants: a node decodes every version up to its own and sends the version that its settings select. The fields
 * of the first version keep their position in stored records. A message may be lost, delayed, duplicated or reordered,
 * and every receiver has to tolerate that.
 *
 * <p>Callers: every package that defines messages or stores values.
 */
package spokestall.message;
