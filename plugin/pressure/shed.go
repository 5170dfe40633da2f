package pressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/account"
)

// candidate is a connection that may be closed.
type candidate struct {
	class Class
	phase account.Phase
	// held is the number of bytes that it holds, and age the time for which it has been in its phase.
	held int64
	age  time.Duration
	// index is that of the connection in the list of the caller.
	index int
}

// minIdleAge is the time after which an idle connection may be closed. A client that has just received a response may be
// sending the next request.
const minIdleAge = 5 * time.Second

// order returns the position of a phase in the order in which connections are closed, and false if they are not.
func (c candidate) order() (int, bool) {
	switch c.phase {
	case account.PhaseFresh:
		return 0, true
	case account.PhaseHead, account.PhaseBody:
		return 1, true
	case account.PhaseIdle:
		return 2, c.age >= minIdleAge
	}
	return 0, false
}

// compare orders candidates: those that have sent nothing, the oldest first; those that hold most, and of these the slowest; those
// that are idle, the longest first.
func compare(a, b candidate) int {
	x, _ := a.order()
	y, _ := b.order()
	if x != y {
		return cmp.Compare(x, y)
	}
	if x == 1 && a.held != b.held {
		return cmp.Compare(b.held, a.held)
	}
	return cmp.Compare(b.age, a.age)
}

// chooseForMemory returns the indexes of the connections to be closed, so that need bytes become free, and possibly more of them
// up to batch. wanted is what the connection that needs the bytes will hold, and class its class; one that holds less is not closed
// for it once it has sent something. Readiness probes are not closed, and connections that may become those of processes of the
// fleet only for others like them. The result is empty if need bytes do not become free.
func chooseForMemory(list []candidate, class Class, need, batch, wanted int64) []int {
	eligible := make([]candidate, 0, len(list))
	for _, c := range list {
		if o, ok := c.order(); ok && mayCloseFor(c.class, class) && (o == 0 || c.held >= wanted) {
			eligible = append(eligible, c)
		}
	}
	slices.SortFunc(eligible, compare)
	var out []int
	freed := int64(0)
	for _, c := range eligible {
		o, _ := c.order()
		if freed >= need && (o != 0 || freed >= batch) {
			break
		}
		freed += c.held
		out = append(out, c.index)
	}
	if freed < need {
		return nil
	}
	return out
}

// mayCloseFor reports whether a connection of one class may be closed to make room for one of another class.
func mayCloseFor(c, other Class) bool {
	switch c {
	case Readiness:
		return false
	case Nodes, Control:
		return c == other
	}
	return true
}

// chooseForConnection returns the indexes of up to count connections of a class to be closed, so that another one can be opened:
// those that have sent nothing, and those that are idle.
func chooseForConnection(list []candidate, class Class, count int) []int {
	eligible := make([]candidate, 0, len(list))
	for _, c := range list {
		if o, ok := c.order(); ok && c.class == class && o != 1 {
			eligible = append(eligible, c)
		}
	}
	slices.SortFunc(eligible, compare)
	var out []int
	for _, c := range eligible[:min(count, len(eligible))] {
		out = append(out, c.index)
	}
	return out
}
