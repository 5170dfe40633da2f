package quorum

import (
	crand "crypto/rand"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/journal"
)

// randomID returns a random non-zero ID. It uses the system's random generator, because
// IDs must differ even between runs with the same seed.
func randomID() uint64 {
	var b [8]byte
	for {
		_, _ = crand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}

// initialVoters returns the names of the instances that form the group. The first of them
// composes the first configuration.
func (q *Quorum) initialVoters() []string {
	if q.s.OpenVoters > 0 {
		return q.peer.SeedNames()
	}
	return q.s.Voters
}

// isInitialVoter reports whether this instance is one of the initial voters.
func (q *Quorum) isInitialVoter() bool { return slices.Contains(q.initialVoters(), q.c.Instance.Name) }

// initialize saves the member ID of a new data folder, and that the instance forms a group if it is told to. Both are in one
// write, the first one, so that an instance that is killed later resumes the bootstrap although it is not told to again.
func (q *Quorum) initialize(r *journal.State) error {
	var b journal.Batch
	if r.MemberID == 0 {
		b.MemberID = replog.MemberID(randomID())
		r.MemberID = b.MemberID
	}
	isEmpty := len(r.Entries) == 0 && r.Snapshot.Index == 0
	switch {
	case !isEmpty && q.c.Bootstrap:
		q.c.Log.Log(evBootstrapIgnored).Send()
	case isEmpty && q.c.Bootstrap && !q.isInitialVoter() && q.s.OpenVoters == 0:
		return errors.Newf("instance %q is not listed as a voter and cannot form a group", q.c.Instance.Name)
	case isEmpty && q.c.Bootstrap && q.isInitialVoter() && len(r.Founders) == 0:
		b.Founders = q.initialVoters()
		r.Founders = b.Founders
	case isEmpty && len(r.Founders) > 0:
		q.c.Log.Log(evBootstrapResumed).Int("founders", len(r.Founders)).Send()
	}
	if b.MemberID == 0 && b.Founders == nil {
		return nil
	}
	if err := q.journal.Save(b); err != nil {
		return err
	}
	if b.Founders != nil {
		q.c.Log.Log(evBootstrapBegun).Int("founders", len(b.Founders)).Send()
	}
	return nil
}
