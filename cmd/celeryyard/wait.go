package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pollInterval is the time between two looks at the fleet's state.
	pollInterval = 250 * time.Millisecond
	// unknownWait is how long --wait gives nodes without an instance that answers to
	// be seen again. With default settings a node of a frozen instance needs up to
	// 7 s: ping interval 2 s, ping timeout 3 s, back-off 2 s.
	unknownWait = 10 * time.Second
)

// look is what one look at the fleet tells about a version.
type look struct {
	line string
	// done tells that the version is known to be in force on every node.
	done bool
	// unknown states what silent instances and nodes that are attached nowhere leave
	// open. It is empty while an instance that answers, or a node of it, is behind.
	unknown string
}

// waitInForce shows progress until every instance and node serves version. It
// ends with an error when that is not known and waiting longer tells no more.
func (a *app) waitInForce(ctx context.Context, version uint64) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var shown, unknown string
	var since time.Time
	for {
		var s statusView
		_, err := a.client.get(ctx, "/v1/status", &s)
		if err != nil && shown != "" && ctx.Err() != nil {
			return notInForce(version, shown, unknown)
		}
		if err != nil {
			return errors.Wrapf(err, "version %d is accepted, but it is not known whether it is in force", version)
		}
		if len(s.Fleet) == 0 {
			return errors.Newf("version %d is accepted; the instance does not show the fleet", version)
		}
		l := progress(&s, version)
		if l.line != shown {
			fmt.Fprintln(a.stderr, l.line)
			shown = l.line
		}
		if l.done {
			return nil
		}
		if l.unknown != unknown {
			unknown, since = l.unknown, time.Now()
		}
		if unknown != "" && time.Since(since) >= unknownWait {
			return notInForce(version, shown, unknown)
		}
		if s.Stale {
			a.client.skip()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return notInForce(version, shown, unknown)
		}
	}
}

func notInForce(version uint64, line, unknown string) error {
	if unknown == "" {
		return errors.Newf("version %d is accepted, but not yet in force everywhere: %s", version, line)
	}
	return errors.Newf("version %d is accepted and in force on every node attached to an instance that answers; not known: %s", version, unknown)
}

// progress sums up the fleet for version.
func progress(s *statusView, version uint64) look {
	nodes, behind, ahead, unseen, current := 0, 0, 0, 0, 0
	var silent, unknown []string
	for _, i := range s.Fleet {
		nodes += i.Nodes
		ahead += i.Ahead
		unseen += i.Unseen
		switch {
		case !i.Reachable:
			silent = append(silent, i.Instance)
			unknown = append(unknown, unknownOf(i.Instance, i.Unseen, i.UnseenNodes))
		case uint64(i.Version) < version:
			behind += i.Nodes
		case i.Nodes > 0 && uint64(i.LowestVersion) < version:
			behind += i.Behind
		case i.Ahead > 0: // the line tells
		case i.Unseen > 0:
			unknown = append(unknown, fmt.Sprintf("%d nodes last served by %s are attached nowhere (%s)", i.Unseen, i.Instance, names(i.UnseenNodes, i.Unseen)))
		default:
			current++
		}
	}
	l := look{done: current == len(s.Fleet)}
	l.line = fmt.Sprintf("version %d: on %d of %d instances with all their nodes; %d of %d nodes behind", version, current, len(s.Fleet), behind, nodes)
	if ahead > 0 {
		l.line += fmt.Sprintf("; %d nodes hold a higher version than their instance knows", ahead)
	}
	if unseen > 0 {
		l.line += fmt.Sprintf("; %d nodes attached to no instance that answers", unseen)
	}
	if len(silent) > 0 {
		l.line += "; no answer from " + strings.Join(silent, ", ")
	}
	if current+len(unknown) == len(s.Fleet) && !s.Stale {
		l.unknown = strings.Join(unknown, "; ")
	}
	return l
}

// unknownOf states what is not known while an instance is silent. Even when all
// its nodes were seen elsewhere, others may have attached to it since.
func unknownOf(instance string, unseen int, list []string) string {
	if unseen == 0 {
		return instance + " is silent; all nodes with an upstream that it served last have been seen elsewhere, but others may be attached to it"
	}
	return fmt.Sprintf("%s is silent; %d of the nodes that it served last have not been seen elsewhere (%s)", instance, unseen, names(list, unseen))
}
