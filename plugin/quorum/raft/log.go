package raft

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/replog"
)

// memLog holds the entries above base, and what is known about them.
type memLog struct {
	// base is the position before the first entry.
	base, baseTerm uint64
	entries        []replog.Entry
	// snapshot describes the newest snapshot; its index is at least base.
	snapshot replog.Snapshot
	// stable is the highest saved index.
	stable, commit, applied uint64
	// configs lists the configurations in force from an index on, in rising order.
	// The first one is at or below base.
	configs []configAt
}

type configAt struct {
	index  uint64
	config replog.Config
}

func newLog(r Recovered) *memLog {
	s := r.Snapshot
	s.Data = nil
	l := &memLog{base: s.Index, baseTerm: s.Term, snapshot: s, configs: []configAt{{s.Index, s.Config}}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
	for _, e := range r.Entries {
		l.push(e)
	}
	l.stable = l.last()
	l.commit = min(max(l.commit, r.Hard.Commit), l.last())
	return l
}

func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index i; false when i is compacted or not yet there.
func (l *memLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *memLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns entries from index lo to hi inclusive, at least one and at most
// about maxBytes. The result must not be changed.
func (l *memLog) slice(lo, hi uint64, maxBytes int) []replog.Entry {
	hi = min(hi, l.last())
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
	if e.Index != l.last()+1 {
		panic(fmt.Sprintf("entry %d appended after %d", e.Index, l.last()))
	}
	l.entries = append(l.entries, e)
	if e.Kind == replog.KindConfig {
		l.configs = append(l.configs, configAt{e.Index, *e.Config})
	}
}

// merge adds entries that follow a matching position. Entries already present
// are kept; the first one with another term removes everything from there on.
func (l *memLog) merge(entries []replog.Entry) {
	for _, e := range entries {
		if e.Index <= l.base || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.push(e)
	}
}

// truncate removes the entries from index i on.
func (l *memLog) truncate(i uint64) {
	if i <= l.commit {
		panic(fmt.Sprintf("committed entry %d would be replaced (commit index %d)", i, l.commit))
	}
	n := i - l.base - 1
	l.entries = l.entries[:n:n] // a later append must not write into slices handed out
	l.stable = min(l.stable, i-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= i {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// config returns the newest configuration, committed or not.
func (l *memLog) config() *replog.Config { return &l.configs[len(l.configs)-1].config }

// configIndex returns the index from which config is in force.
func (l *memLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// configBelow returns the configuration in force at index i.
func (l *memLog) configBelow(i uint64) replog.Config {
	out := l.configs[0].config
	for _, c := range l.configs {
		if c.index <= i {
			out = c.config
		}
	}
	return out
}

// compact drops the entries up to index i, which must be applied.
func (l *memLog) compact(i uint64) {
	if i <= l.base || i > l.applied {
		return
	}
	term, _ := l.term(i)
	l.entries = append([]replog.Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, term
	for len(l.configs) > 1 && l.configs[1].index <= i {
		l.configs = l.configs[1:]
	}
}

// restore replaces the log by a snapshot.
func (l *memLog) restore(s replog.Snapshot) {
	s.Data = nil
	l.base, l.baseTerm, l.entries, l.snapshot = s.Index, s.Term, nil, s
	l.stable, l.commit = s.Index, s.Index
	l.configs = []configAt{{s.Index, s.Config}}
}

// lastNotAbove returns the highest index up to i whose term is at most term.
func (l *memLog) lastNotAbove(i, term uint64) (uint64, uint64) {
	for i = min(i, l.last()); i > l.base; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.base, l.baseTerm
}

// newer reports whether a candidate's log with the given last position is at
// least as up to date as this one.
func (l *memLog) newer(index, term uint64) bool {
	mine := l.lastTerm()
	return term > mine || term == mine && index >= l.last()
}
