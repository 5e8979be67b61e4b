/**
 * The log on disk.
 *
 * <p>Owns: a table of keys stored in a ring of preallocated segments ({@link spokestall.storage.SegmentedLog}), the format of its
 * records, its compaction, its recovery at start, and the segments' files.
 *
 * <p>Invariants: a put is reported as synced only after its sync. A torn tail is cut; a hole in what had been synced makes the
 * log blank rather than wrong. After a refused commit nothing is written but the same bytes again, until they are accepted. The
 * oldest segment is freed only once its live records are synced in a newer one.
 *
 * <p>Callers: {@code consensus.Acceptor} alone stores through it; {@code node} creates it and reads its state; {@code io} syncs
 * directories. Only {@link spokestall.storage.FileSegmentStore} and {@link spokestall.storage.DirectorySync} touch files; the
 * testbed has its own {@link spokestall.storage.SegmentStore}.
 */
package spokestall.storage;
