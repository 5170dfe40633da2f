package raft

import "github.com/celeryyard/celeryyard/core/replog"

// Flush sends what was proposed since the last call. The caller proposes any
// number of entries before it, so that they share messages and one save.
func (c *Core) Flush(now Instant) {
	c.now = now
	if c.state == Leader {
		c.broadcastAppend()
	}
}

// Ready returns what is to be done and takes it out of the core.
func (c *Core) Ready() Ready {
	rd := Ready{Reads: c.reads, Messages: c.early}
	c.reads, c.early = nil, nil
	if !c.saving {
		if s := c.nextSave(); s != nil {
			c.saving, rd.Save = true, s
		} else {
			rd.Messages = append(rd.Messages, c.late...)
		}
		c.late = nil
	}
	rd.CanApply = c.canApply()
	return rd
}

func (c *Core) nextSave() *Save {
	hard := replog.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	entries := c.log.slice(c.log.stable+1, c.log.last(), 1<<62)
	if c.install == nil && len(entries) == 0 && hard.Term == c.saved.Term && hard.Vote == c.saved.Vote {
		return nil
	}
	return &Save{Hard: hard, Snapshot: c.install, Entries: entries, Messages: c.late}
}

// Saved tells that s is on disk; its messages may now be sent.
func (c *Core) Saved(s *Save) {
	c.saving = false
	c.saved = s.Hard
	if s.Snapshot != nil && c.install == s.Snapshot {
		c.restore, c.install = c.install, nil
	}
	if n := len(s.Entries); n > 0 {
		// Entries that were replaced meanwhile have another term and do not count.
		if e := s.Entries[n-1]; c.log.matches(e.Index, e.Term) && c.install == nil {
			c.log.stable = max(c.log.stable, e.Index)
		}
	}
	if c.state == Leader {
		c.maybeCommit()
	}
}

// SavedHard returns a hard state that may be written at any time: the term and
// vote on disk with a newer lower bound of the commit index.
func (c *Core) SavedHard() replog.HardState {
	h := c.saved
	h.Commit = max(h.Commit, min(c.log.commit, c.log.stable))
	return h
}

func (c *Core) canApply() bool {
	if c.install != nil {
		return false
	}
	return c.restore != nil || c.log.applied < min(c.log.commit, c.log.stable)
}

// NextApply returns a snapshot to restore, or committed and saved entries in
// order, at most about maxBytes. The caller calls Applied when it is done with
// them and before the next NextApply.
func (c *Core) NextApply(maxBytes int) (*replog.Snapshot, []replog.Entry) {
	if !c.canApply() {
		return nil, nil
	}
	if c.restore != nil {
		return c.restore, nil
	}
	return nil, c.log.slice(c.log.applied+1, min(c.log.commit, c.log.stable), maxBytes)
}

// Applied tells that everything up to index is applied.
func (c *Core) Applied(index uint64) {
	c.log.applied = max(c.log.applied, index)
	if c.restore != nil && c.restore.Index <= c.log.applied {
		c.restore = nil
	}
}

// Compact tells of a saved snapshot of this member and drops the entries up to
// index keepAbove, which is at most that of the snapshot.
func (c *Core) Compact(s replog.Snapshot, keepAbove uint64) {
	s.Data = nil
	if s.Index <= c.log.snapshot.Index || s.Index > c.log.last() {
		return // a received snapshot is newer
	}
	c.log.snapshot = s
	c.log.compact(min(keepAbove, s.Index))
}

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// DescribeSnapshot returns term and configuration for a snapshot at an applied
// index; false when the index is compacted.
func (c *Core) DescribeSnapshot(index uint64) (replog.Snapshot, bool) {
	term, ok := c.log.term(index)
	return replog.Snapshot{Index: index, Term: term, Config: c.log.configBelow(index)}, ok
}
