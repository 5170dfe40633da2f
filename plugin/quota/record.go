package quota

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// recordFile is the name of the file in the data folder with the names of the nodes that hold something of this instance. It
// is written, possibly with no name, as soon as the group is in operation: a group in which no member has it is new.
const recordFile = "quota.json"

// anyStart stands for an unknown incarnation in a record of an earlier version. No later start is known to replace it.
const anyStart uint64 = math.MaxUint64

// earlierLeases is what an instance knows of the leases that its earlier incarnations gave. It does no I/O.
type earlierLeases struct {
	// lease is the validity of a lease; after that time since the start all have ended.
	lease time.Duration
	// hasRecord is set if the disk held a record at the start; waiting holds the incarnations of the nodes in it that were
	// not heard of since.
	hasRecord bool
	waiting   map[string]uint64
	// quietAt is the latest time at which one of them may have used something.
	quietAt time.Duration
	// isSettled is set once the leader has known of all leases of earlier starts.
	isSettled bool
}

// state returns what is known at the time now since the start.
func (e *earlierLeases) state(now time.Duration) peerapi.EarlierLeases {
	switch {
	case e.isSettled, now > e.lease+leaseMargin, e.hasRecord && len(e.waiting) == 0:
		return peerapi.LeasesEnded
	case e.hasRecord:
		return peerapi.LeasesMayLast
	}
	return peerapi.LeasesUnrecorded
}

// isWaiting reports whether the end of earlier leases is awaited at now, by nodes or by time.
func (e *earlierLeases) isWaiting(now time.Duration) bool { return e.state(now) != peerapi.LeasesEnded }

// observe takes note of a request of a node to this incarnation: the node has given up what it held of earlier ones.
func (e *earlierLeases) observe(key nodeKey, now time.Duration) {
	if waited, ok := e.waiting[key.name]; ok && (key.incarnation >= waited || waited == anyStart) {
		delete(e.waiting, key.name)
		e.quietAt = max(e.quietAt, now)
	}
}

// observeStart takes note of a start of a node, which was heard of by any instance: the process of an earlier start has
// ended before startedBy. A start that has only moved to another instance keeps its leases.
func (e *earlierLeases) observeStart(key nodeKey, startedBy time.Duration) {
	if waited, ok := e.waiting[key.name]; ok && key.incarnation > waited {
		delete(e.waiting, key.name)
		e.quietAt = max(e.quietAt, startedBy)
	}
}

// waits returns the starts that are awaited, maxNamed of them at most.
func (e *earlierLeases) waits() []peerapi.NodeStart {
	var list []peerapi.NodeStart
	for name, incarnation := range e.waiting {
		if incarnation != anyStart {
			list = append(list, peerapi.NodeStart{Name: name, Incarnation: incarnation})
		}
	}
	return firstStarts(list)
}

// quiet returns how long nothing of earlier incarnations has been valid; 0 while something may be.
func (e *earlierLeases) quiet(now time.Duration) time.Duration {
	if !e.hasRecord || len(e.waiting) > 0 {
		return 0
	}
	return max(now-e.quietAt, 0)
}

// record is the content of the file. Starts holds the incarnation of each node in Nodes; earlier versions wrote none.
type record struct {
	Nodes  []string `json:"nodes"`
	Starts []uint64 `json:"starts,omitempty"`
}

// readRecord reads the file in a folder. ok is false if there is none.
func readRecord(folder string) (nodes map[string]uint64, ok bool, err error) {
	if folder == "" {
		return nil, false, nil
	}
	b, err := os.ReadFile(filepath.Join(folder, recordFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	var r record
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	nodes = make(map[string]uint64, len(r.Nodes))
	for i, name := range r.Nodes {
		nodes[name] = anyStart
		if i < len(r.Starts) {
			nodes[name] = r.Starts[i]
		}
	}
	return nodes, err == nil, errors.Wrap(err, "record of nodes with leases")
}

// writeRecord replaces the file in a folder and syncs it to disk.
func writeRecord(folder string, nodes map[string]uint64) (err error) {
	defer func() { err = errors.Wrap(err, "record of nodes with leases") }()
	var r record
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		r.Nodes, r.Starts = append(r.Nodes, name), append(r.Starts, nodes[name])
	}
	b, err := json.Marshal(&r)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, recordFile)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
