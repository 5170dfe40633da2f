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
	// unknownTimeout is how long the state of the same instances or nodes may remain unknown before
	// --wait fails. In this time, nodes can leave an instance that does not respond and attach to a
	// different one. With default settings, a node of a frozen instance needs up to 7 s for this:
	// ping interval 2 s, ping timeout 3 s, backoff 2 s.
	unknownTimeout = 10 * time.Second
)

// fleetProgress states how far a version is in force, according to one status of the fleet.
type fleetProgress struct {
	// line is the text that is printed for the operator.
	line string
	// inForce means that the version is known to be in force on every node.
	inForce bool
	// unknownState describes the instances and nodes whose version is not known, because an instance
	// does not respond or a node is attached to no instance. It is empty while a responding instance,
	// or one of its nodes, is behind.
	unknownState string
}

// waitUntilInForce prints the progress until every instance and node serves version. It returns an
// error if the status cannot be fetched, if ctx ends, or if the status of the same instances or nodes
// remains unknown for unknownTimeout.
func (a *app) waitUntilInForce(ctx context.Context, version uint64) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var shownLine, unknownState string
	var unknownSince time.Time
	for {
		var s statusView
		_, err := a.client.get(ctx, "/v1/status", &s)
		if err != nil && shownLine != "" && ctx.Err() != nil {
			return newNotInForceError(version, shownLine, unknownState)
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
		if p.unknownState != unknownState {
			unknownState, unknownSince = p.unknownState, time.Now()
		}
		if unknownState != "" && time.Since(unknownSince) >= unknownTimeout {
			return newNotInForceError(version, shownLine, unknownState)
		}
		if s.Stale {
			a.client.useNextServer()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return newNotInForceError(version, shownLine, unknownState)
		}
	}
}

func newNotInForceError(version uint64, line, unknownState string) error {
	if unknownState == "" {
		return errors.Newf("version %d is accepted, but not yet in force everywhere: %s", version, line)
	}
	return errors.Newf("version %d is accepted and in force on every node attached to an instance that answers; not known: %s", version, unknownState)
}

// summarizeProgress summarizes how far version is in force in the fleet.
func summarizeProgress(s *statusView, version uint64) fleetProgress {
	nodes, nodesBehind, nodesAhead, unseenNodes, currentInstances := 0, 0, 0, 0, 0
	var unresponsive, unknownStates []string
	for _, i := range s.Fleet {
		nodes += i.Nodes
		nodesAhead += i.Ahead
		unseenNodes += i.Unseen
		switch {
		case !i.Reachable:
			unresponsive = append(unresponsive, i.Instance)
			unknownStates = append(unknownStates, describeUnknown(i.Instance, i.Unseen, i.UnseenNodes))
		case uint64(i.Version) < version:
			nodesBehind += i.Nodes
		case i.Nodes > 0 && uint64(i.LowestVersion) < version:
			nodesBehind += i.Behind
		case i.Ahead > 0: // already reported in the line
		case i.Unseen > 0:
			unknownStates = append(unknownStates, fmt.Sprintf("%d nodes last served by %s are attached nowhere (%s)", i.Unseen, i.Instance, joinNames(i.UnseenNodes, i.Unseen)))
		default:
			currentInstances++
		}
	}
	p := fleetProgress{inForce: currentInstances == len(s.Fleet)}
	p.line = fmt.Sprintf("version %d: on %d of %d instances with all their nodes; %d of %d nodes behind", version, currentInstances, len(s.Fleet), nodesBehind, nodes)
	if nodesAhead > 0 {
		p.line += fmt.Sprintf("; %d nodes hold a higher version than their instance knows", nodesAhead)
	}
	if unseenNodes > 0 {
		p.line += fmt.Sprintf("; %d nodes attached to no instance that answers", unseenNodes)
	}
	if len(unresponsive) > 0 {
		p.line += "; no answer from " + strings.Join(unresponsive, ", ")
	}
	if currentInstances+len(unknownStates) == len(s.Fleet) && !s.Stale {
		p.unknownState = strings.Join(unknownStates, "; ")
	}
	return p
}

// describeUnknown describes what is not known while an instance does not respond. Even if all the
// nodes that it served last have been seen elsewhere, further nodes may have attached to it.
func describeUnknown(instance string, unseenNodes int, nodeNames []string) string {
	if unseenNodes == 0 {
		return instance + " is silent; all nodes with an upstream that it served last have been seen elsewhere, but others may be attached to it"
	}
	return fmt.Sprintf("%s is silent; %d of the nodes that it served last have not been seen elsewhere (%s)", instance, unseenNodes, joinNames(nodeNames, unseenNodes))
}
