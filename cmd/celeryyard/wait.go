package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pollInterval is the time between two requests for the state of the fleet.
	pollInterval = 250 * time.Millisecond
	// unknownTimeout is how long --wait waits for a node whose instance does not respond to attach to
	// a responding instance. With default settings, a node of a frozen instance needs up to 7 s: ping
	// interval 2 s, ping timeout 3 s, backoff 2 s. After this time, --wait fails.
	unknownTimeout = 10 * time.Second
)

// fleetProgress states how far a version is in force, according to one status of the fleet.
type fleetProgress struct {
	// line is the text that is printed for the operator.
	line string
	// inForce means that the version is known to be in force on every node.
	inForce bool
	// unknown describes what is not known, because an instance does not respond or because a node is
	// attached to no instance. It is empty while a responding instance, or one of its nodes, is behind.
	unknown string
}

// waitUntilInForce prints the progress until every instance and node serves version. It returns an
// error if the status cannot be fetched, if ctx ends, or if the status of the same instances or nodes
// remains unknown for unknownTimeout.
func (a *app) waitUntilInForce(ctx context.Context, version uint64) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var shownLine, unknown string
	var unknownSince time.Time
	for {
		var s statusView
		_, err := a.client.get(ctx, "/v1/status", &s)
		if err != nil && shownLine != "" && ctx.Err() != nil {
			return newNotInForceError(version, shownLine, unknown)
		}
		if err != nil {
			return errors.Wrapf(err, "version %d is accepted, but it is not known whether it is in force", version)
		}
		if len(s.Fleet) == 0 {
			return errors.Newf("version %d is accepted; the instance does not report the state of the fleet", version)
		}
		p := summarizeProgress(&s, version)
		if p.line != shownLine {
			fmt.Fprintln(a.stderr, p.line)
			shownLine = p.line
		}
		if p.inForce {
			return nil
		}
		if p.unknown != unknown {
			unknown, unknownSince = p.unknown, time.Now()
		}
		if unknown != "" && time.Since(unknownSince) >= unknownTimeout {
			return newNotInForceError(version, shownLine, unknown)
		}
		if s.Stale {
			a.client.useNextServer()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return newNotInForceError(version, shownLine, unknown)
		}
	}
}

func newNotInForceError(version uint64, line, unknown string) error {
	if unknown == "" {
		return errors.Newf("version %d is accepted, but not yet in force everywhere: %s", version, line)
	}
	return errors.Newf("version %d is accepted and in force on every node attached to an instance that answers; not known: %s", version, unknown)
}

// summarizeProgress summarizes how far version is in force in the fleet.
func summarizeProgress(s *statusView, version uint64) fleetProgress {
	nodes, behind, ahead, unseen, current := 0, 0, 0, 0, 0
	var silent, unknown []string
	for _, i := range s.Fleet {
		nodes += i.Nodes
		ahead += i.Ahead
		unseen += i.Unseen
		switch {
		case !i.Reachable:
			silent = append(silent, i.Instance)
			unknown = append(unknown, describeUnknown(i.Instance, i.Unseen, i.UnseenNodes))
		case uint64(i.Version) < version:
			behind += i.Nodes
		case i.Nodes > 0 && uint64(i.LowestVersion) < version:
			behind += i.Behind
		case i.Ahead > 0: // already reported in the line
		case i.Unseen > 0:
			unknown = append(unknown, fmt.Sprintf("%d nodes last served by %s are attached nowhere (%s)", i.Unseen, i.Instance, joinNames(i.UnseenNodes, i.Unseen)))
		default:
			current++
		}
	}
	p := fleetProgress{inForce: current == len(s.Fleet)}
	p.line = fmt.Sprintf("version %d: on %d of %d instances with all their nodes; %d of %d nodes behind", version, current, len(s.Fleet), behind, nodes)
	if ahead > 0 {
		p.line += fmt.Sprintf("; %d nodes hold a higher version than their instance knows", ahead)
	}
	if unseen > 0 {
		p.line += fmt.Sprintf("; %d nodes attached to no instance that answers", unseen)
	}
	if len(silent) > 0 {
		p.line += "; no answer from " + strings.Join(silent, ", ")
	}
	if current+len(unknown) == len(s.Fleet) && !s.Stale {
		p.unknown = strings.Join(unknown, "; ")
	}
	return p
}

// describeUnknown describes what is not known while an instance does not respond. Even if all the
// nodes that it served last have been seen elsewhere, further nodes may have attached to it.
func describeUnknown(instance string, unseen int, nodeNames []string) string {
	if unseen == 0 {
		return instance + " is silent; all nodes with an upstream that it served last have been seen elsewhere, but others may be attached to it"
	}
	return fmt.Sprintf("%s is silent; %d of the nodes that it served last have not been seen elsewhere (%s)", instance, unseen, joinNames(nodeNames, unseen))
}
