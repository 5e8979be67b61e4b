/**
 * Durable storage: an append-only log on disk.
 *
 * <p>Owns: a key-value table stored in a ring of preallocated segments ({@link spokestall.storage.SegmentedLog}), the format of its
 * records, its compaction, its recovery at start, and the segments' files.
 *
 * <p>Invariants: a put is reported as synced only after its sync. Recovery discards a torn tail; if a synced record is missing, the
 * log starts blank instead of with incomplete data. After the disk refuses a commit, only the same bytes are written again, until
 * the disk accepts them. The oldest segment is freed only once its live records are synced in a newer one.
 *
 * <p>Callers: only {@code consensus.Acceptor} writes to the log; {@code node} creates it and reads its state; {@code io} syncs
 * directories. Only {@link spokestall.storage.FileSegmentStore} and {@link spokestall.storage.DirectorySync} touch files; the
 * testbed has its own {@link spokestall.storage.SegmentStore}.
 */
package spokestall.storage;
