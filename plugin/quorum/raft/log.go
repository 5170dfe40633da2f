package raft

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/replog"
)

// memLog holds the entries after base in memory, with the configurations that they contain.
type memLog struct {
	// base is the index of the entry before the first one held, and baseTerm is its term.
	base, baseTerm uint64
	entries        []replog.Entry
	// bytes is the size of entries, and unsavedBytes that of the ones above stable.
	bytes, unsavedBytes int
	// snapshot describes the newest snapshot; its index is at least base.
	snapshot replog.Snapshot
	// stable is the highest saved index. commit is the highest committed index. applied is the
	// highest index that the caller has applied.
	stable, commit, applied uint64
	// configs lists the configurations by ascending index. Each applies from its index up to the
	// next one. The first one is at or below base.
	configs []indexedConfig
}

type indexedConfig struct {
	index  uint64
	config replog.Config
}

func newMemLog(r RecoveredState) *memLog {
	s := r.Snapshot
	s.Data = nil
	l := &memLog{base: s.Index, baseTerm: s.Term, snapshot: s, configs: []indexedConfig{{s.Index, s.Config}}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
	for _, e := range r.Entries {
		l.push(e)
	}
	l.markSaved(l.lastIndex())
	l.commit = min(max(l.commit, r.HardState.Commit), l.lastIndex())
	return l
}

func (l *memLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term at index i, and false if i is compacted or after the last entry.
func (l *memLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *memLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns the entries from index lo to hi inclusive, cut off so that their sizes add up to
// at most maxBytes. The first entry is returned even if it is larger. It returns nil if lo is
// compacted or after the last entry. The caller must not modify the result.
func (l *memLog) slice(lo, hi uint64, maxBytes int) []replog.Entry {
	hi = min(hi, l.lastIndex())
	if lo <= l.base || lo > hi {
		return nil
	}
	all := l.entries[lo-l.base-1 : hi-l.base]
	n, size := 0, 0
	for n < len(all) {
		size += all[n].Size()
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return all[:n:n]
}

func (l *memLog) push(e replog.Entry) {
	if e.Index != l.lastIndex()+1 {
		panic(fmt.Sprintf("entry %d appended after %d", e.Index, l.lastIndex()))
	}
	l.entries = append(l.entries, e)
	l.bytes += e.Size()
	l.unsavedBytes += e.Size()
	if e.Kind == replog.KindConfig {
		l.configs = append(l.configs, indexedConfig{e.Index, *e.Config})
	}
}

// merge adds entries that follow a matching position. Entries that the log already has are kept;
// the first entry with a different term replaces everything from its index on.
func (l *memLog) merge(entries []replog.Entry) {
	for _, e := range entries {
		if e.Index <= l.base || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		l.push(e)
	}
}

// truncate removes the entries from index i on, which must not be committed.
func (l *memLog) truncate(i uint64) {
	if i <= l.commit {
		panic(fmt.Sprintf("committed entry %d would be replaced (commit index %d)", i, l.commit))
	}
	n := i - l.base - 1
	for j := n; j < uint64(len(l.entries)); j++ {
		size := l.entries[j].Size()
		l.bytes -= size
		if l.base+1+j > l.stable {
			l.unsavedBytes -= size
		}
	}
	l.entries = l.entries[:n:n] // a later append must not overwrite slices that were returned
	l.stable = min(l.stable, i-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= i {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// markSaved records that the entries up to index i are saved.
func (l *memLog) markSaved(i uint64) {
	for l.stable < i {
		l.stable++
		l.unsavedBytes -= l.entries[l.stable-l.base-1].Size()
	}
}

// config returns the newest configuration, committed or not.
func (l *memLog) config() *replog.Config { return &l.configs[len(l.configs)-1].config }

// configIndex returns the index of the newest configuration.
func (l *memLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// configAt returns the configuration that applies at index i.
func (l *memLog) configAt(i uint64) replog.Config {
	out := l.configs[0].config
	for _, c := range l.configs {
		if c.index <= i {
			out = c.config
		}
	}
	return out
}

// compact drops the entries up to index i, which must be saved. It does nothing if entry i is not yet applied.
func (l *memLog) compact(i uint64) {
	if i <= l.base || i > l.applied {
		return
	}
	term, _ := l.term(i)
	for j := range i - l.base {
		l.bytes -= l.entries[j].Size()
	}
	l.entries = append([]replog.Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, term
	for len(l.configs) > 1 && l.configs[1].index <= i {
		l.configs = l.configs[1:]
	}
}

// restore replaces the log with a snapshot.
func (l *memLog) restore(s replog.Snapshot) {
	s.Data = nil
	l.base, l.baseTerm, l.entries, l.snapshot = s.Index, s.Term, nil, s
	l.bytes, l.unsavedBytes = 0, 0
	l.stable, l.commit = s.Index, s.Index
	l.configs = []indexedConfig{{s.Index, s.Config}}
}

// findConflictByTerm returns the highest index up to i whose entry has at most the given term, and
// the term of that entry. It returns base and baseTerm if there is no such entry.
func (l *memLog) findConflictByTerm(i, term uint64) (uint64, uint64) {
	for i = min(i, l.lastIndex()); i > l.base; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.base, l.baseTerm
}

// isUpToDate reports whether a candidate's log that ends with the given index and term is at least
// as up to date as this one.
func (l *memLog) isUpToDate(index, term uint64) bool {
	ownLastTerm := l.lastTerm()
	return term > ownLastTerm || term == ownLastTerm && index >= l.lastIndex()
}
