package freshness

import "time"

// AnnouncementWait is how long the reads of a process that starts do not count unless another node has told which
// configuration it has in force. Links to reachable nodes are open within some 0.1 s of the start;
// after 2 s it is assumed that none can be reached.
const AnnouncementWait = 2 * time.Second

// OwnReads decides whether the reads of the table by this process may make its copy count as
// current. They may not in two cases, in which the store does not tell all that is in force:
//
//   - The process has just started. A store that was restored from an older copy may have lost the
//     configuration that the others have in force.
//   - The newest row of the configuration was rejected, and this process has not seen all that was
//     written before it. A valid configuration may have been replaced unseen.
//
// It takes the time as an argument and is not safe for concurrent use. Its zero value is ready for
// use.
type OwnReads struct {
	// started means that the start is over.
	started   bool
	waitBegan time.Duration // 0 if the wait has not begun
	// rejected is the version of the newest rejected row. proven is the version up to which no
	// valid configuration newer than the one in force is missing.
	rejected, proven uint64
}

// Starting reports whether Count depends on whether other nodes are known.
func (r *OwnReads) Starting() bool { return !r.started }

// Announced records that another node has told which configuration it has in force.
func (r *OwnReads) Announced() { r.started = true }

// InForce records that the row of the given version is in force, or is known to be older than what
// is in force.
func (r *OwnReads) InForce(version uint64) { r.proven = max(r.proven, version) }

// Rejected records that the row of the given version is not put in force.
func (r *OwnReads) Rejected(version uint64) { r.rejected = max(r.rejected, version) }

// Changes records that all changes of the table after the version after, up to the version complete,
// are known. row is the version that the row of the configuration had in the copy before.
func (r *OwnReads) Changes(row, after, complete uint64) {
	if r.proven >= min(row, after) {
		r.proven = max(r.proven, complete)
	}
}

// Relisted records that a restored store has the row of the configuration unchanged: its version was
// row, and is now version.
func (r *OwnReads) Relisted(row, version uint64) {
	if r.proven >= row {
		r.proven = max(r.proven, version)
	}
}

// Confirmed records that another node, whose copy is current up to the given version, has no newer
// configuration in force.
func (r *OwnReads) Confirmed(version uint64) {
	r.Announced()
	r.proven = max(r.proven, version)
}

// Count reports whether reads count. otherNodes tells whether other nodes are known. If they may
// count later although nothing happens meanwhile, it returns after which time.
func (r *OwnReads) Count(now time.Duration, otherNodes bool) (ok bool, again time.Duration) {
	if r.rejected > r.proven {
		return false, 0
	}
	if !r.started && otherNodes {
		if r.waitBegan == 0 {
			r.waitBegan = now
		}
		if left := r.waitBegan + AnnouncementWait - now; left > 0 {
			return false, left
		}
	}
	r.started = true
	return true, 0
}
