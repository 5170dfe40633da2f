package raft

import "github.com/celeryyard/celeryyard/core/replog"

// Flush sends the entries proposed since the last call. The caller may propose several entries
// before it calls Flush, so that they share messages and one save.
func (c *Core) Flush(now Instant) {
	c.now = now
	if c.state == Leader {
		c.broadcastAppend()
	}
}

// Ready returns the pending work and clears it in the core.
func (c *Core) Ready() Ready {
	rd := Ready{Reads: c.readStates, Messages: c.messages}
	c.readStates, c.messages = nil, nil
	if !c.saving {
		if s := c.nextSave(); s != nil {
			c.saving, c.saveStartedAt, rd.Save = true, c.now, s
		} else {
			rd.Messages = append(rd.Messages, c.messagesAfterSave...)
		}
		c.messagesAfterSave = nil
	}
	rd.CanApply = c.canApply()
	return rd
}

func (c *Core) nextSave() *Save {
	hardState := replog.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	entries := c.log.slice(c.log.stable+1, c.log.lastIndex(), 1<<62)
	if c.unsavedSnapshot == nil && len(entries) == 0 && hardState.Term == c.savedHardState.Term && hardState.Vote == c.savedHardState.Vote {
		return nil
	}
	return &Save{HardState: hardState, Snapshot: c.unsavedSnapshot, Entries: entries, Messages: c.messagesAfterSave}
}

// ReportSaved records that s is on disk. The caller may then send s.Messages.
func (c *Core) ReportSaved(s *Save) {
	c.saving, c.saveTime = false, c.now-c.saveStartedAt
	requestsVotes := c.state == Candidate && c.savedHardState.Term != c.term && s.HardState.Term == c.term
	c.savedHardState = s.HardState
	if requestsVotes {
		// The votes are requested now. Voters need about as long to save theirs.
		c.resetElectionDeadline()
		c.electionDeadline += c.saveTime
	}
	if s.Snapshot != nil && c.unsavedSnapshot == s.Snapshot {
		c.unappliedSnapshot, c.unsavedSnapshot = c.unsavedSnapshot, nil
	}
	if n := len(s.Entries); n > 0 {
		// Entries that were replaced during the save have a different term and do not count as
		// saved.
		if e := s.Entries[n-1]; c.log.matches(e.Index, e.Term) && c.unsavedSnapshot == nil {
			c.log.markSaved(e.Index)
		}
	}
	if c.state == Leader {
		c.maybeCommit()
	}
}

// SavedHardState returns a hard state that may be written at any time: the term and vote that are
// on disk, with a lower bound of the commit index that may be higher than the one on disk.
func (c *Core) SavedHardState() replog.HardState {
	h := c.savedHardState
	h.Commit = max(h.Commit, min(c.log.commit, c.log.stable))
	return h
}

func (c *Core) canApply() bool {
	if c.unsavedSnapshot != nil {
		return false
	}
	return c.unappliedSnapshot != nil || c.log.applied < c.applicable()
}

// applicable returns the index up to which entries may be applied.
func (c *Core) applicable() uint64 {
	if c.diskBlocked {
		return c.log.commit
	}
	return min(c.log.commit, c.log.stable)
}

// NextApply returns a snapshot to restore, or committed and saved entries in log order whose sizes
// add up to at most maxBytes. The first entry is returned even if it is larger. The caller must
// apply the result and call ReportApplied before the next call of NextApply.
func (c *Core) NextApply(maxBytes int) (*replog.Snapshot, []replog.Entry) {
	if !c.canApply() {
		return nil, nil
	}
	if c.unappliedSnapshot != nil {
		return c.unappliedSnapshot, nil
	}
	return nil, c.log.slice(c.log.applied+1, c.applicable(), maxBytes)
}

// ReportApplied records that all entries up to index are applied.
func (c *Core) ReportApplied(index uint64) {
	c.log.applied = max(c.log.applied, index)
	if c.unappliedSnapshot != nil && c.unappliedSnapshot.Index <= c.log.applied {
		c.unappliedSnapshot = nil
	}
}

// KeepAbove returns the index above which at most maxEntries entries, whose sizes add up to at most maxBytes, follow up to the
// given index.
func (c *Core) KeepAbove(index, maxEntries uint64, maxBytes int) uint64 {
	keep, size := index, 0
	for keep > c.log.base && index-keep < maxEntries && keep <= c.log.lastIndex() {
		if size += c.log.entries[keep-c.log.base-1].Size(); size > maxBytes {
			break
		}
		keep--
	}
	return keep
}

// Compact records a snapshot of this member's state that is on disk. It drops the entries up to
// keepAbove, but none above the index of the snapshot. It does nothing unless the snapshot is newer
// than the last one and its index is in the log.
func (c *Core) Compact(s replog.Snapshot, keepAbove uint64) {
	s.Data = nil
	if s.Index <= c.log.snapshot.Index || s.Index > c.log.lastIndex() {
		return // a received snapshot is newer
	}
	c.log.snapshot = s
	c.log.compact(min(keepAbove, s.Index))
}

// LogBytes returns the size of the entries in memory in bytes.
func (c *Core) LogBytes() int { return c.log.bytes }

// UnsavedBytes returns the size in bytes of the entries in memory that are not on disk.
func (c *Core) UnsavedBytes() int { return c.log.unsavedBytes }

// CommittedUnsavedBytes returns the size in bytes of the committed entries that are not on the disk of this member.
func (c *Core) CommittedUnsavedBytes() int {
	size := 0
	for _, e := range c.log.slice(c.log.stable+1, c.log.commit, 1<<62) {
		size += e.Size()
	}
	return size
}

// StableIndex returns the index of the last saved entry.
func (c *Core) StableIndex() uint64 { return c.log.stable }

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// DescribeSnapshot returns the term and configuration of a snapshot at an applied index, and false
// if the index is compacted.
func (c *Core) DescribeSnapshot(index uint64) (replog.Snapshot, bool) {
	term, ok := c.log.term(index)
	return replog.Snapshot{Index: index, Term: term, Config: c.log.configAt(index)}, ok
}
