/**
 * The log on disk.
 *
 * <p>Owns: a table of keys stored in a ring of preallocated files ({@link spokestall.storage.SegmentedLog}), their segments and the
 * recovery at start.
 *
 * <p>Invariants: a write is reported done only after its sync. A torn tail is cut; a hole in what had been synced makes the
 * whole log count as blank rather than wrong. After a disk error nothing more is written. The oldest segment is freed only after
 * its live records stand in a newer one.
 *
 * <p>Callers: {@code ballot.Voter} alone stores through it; {@code rim} syncs folders. Only {@link spokestall.storage.FileSegmentStore} and
 * {@link spokestall.storage.DirectorySync} touch files; the simulator has its own {@link spokestall.storage.SegmentStore}.
 */
package spokestall.storage;
