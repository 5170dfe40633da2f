package distribution

import "github.com/celeryyard/celeryyard/core/resource"

// admission decides when nodes without state are sent their first snapshot, so that no node
// receives a version lower than one that it may have served before a restart. It decides after a
// linearizable read of the replicated log, which is also called a barrier. Its methods must not be
// called concurrently.
type admission struct {
	// highestReportedVersion is the highest version that nodes of the zone or other instances
	// have reported since the start of the process. It is the zone's lower bound: nodes without
	// state are sent no version below it while the quorum is not reachable.
	highestReportedVersion resource.Version
	// releasedRecovered is set if the instance found its released version on disk when it
	// started. barrierSucceeded is set once a linearizable read has succeeded. While neither is
	// set, the instance cannot know which versions it released before the restart.
	releasedRecovered, barrierSucceeded bool
	// waiting holds the IDs of the sessions that are decided on after the running linearizable
	// read. waitingForNext holds the IDs of the sessions that were opened after that read had
	// started.
	waiting, waitingForNext []uint64
	// barrierRunning is set while a linearizable read is running.
	barrierRunning bool
}

// recordReportedVersion raises highestReportedVersion to a version that another process holds.
func (a *admission) recordReportedVersion(v resource.Version) {
	a.highestReportedVersion = max(a.highestReportedVersion, v)
}

// addWaiting adds the session of a node without state to those that wait for admission, and reports
// whether the caller must start a linearizable read. It returns false if one is running; the session
// then waits for the next one.
func (a *admission) addWaiting(id uint64) (startBarrier bool) {
	if a.barrierRunning {
		a.waitingForNext = append(a.waitingForNext, id)
		return false
	}
	a.waiting = append(a.waiting, id)
	return a.beginBarrier()
}

// beginBarrier prepares a linearizable read for all waiting sessions and reports whether the caller
// must start it; it returns false if no session waits or such a read is running.
func (a *admission) beginBarrier() bool {
	if a.barrierRunning {
		return false
	}
	a.waiting, a.waitingForNext = append(a.waiting, a.waitingForNext...), nil
	a.barrierRunning = len(a.waiting) > 0
	return a.barrierRunning
}

// admissionResult is the outcome of a linearizable read.
type admissionResult struct {
	// admitted lists the sessions that may be sent minVersion and later versions.
	admitted   []uint64
	minVersion resource.Version
	// reason describes why sessions still wait; empty when they were admitted.
	reason string
}

// finishBarrier decides whether the waiting sessions are admitted after the running linearizable
// read has ended; ok reports whether the read succeeded. version is the version that the instance
// holds after the read, and releasedVersion is the highest version that the instance itself has
// released.
func (a *admission) finishBarrier(ok bool, version, releasedVersion resource.Version) admissionResult {
	a.barrierRunning = false
	if ok {
		a.barrierSucceeded = true
		result := admissionResult{admitted: a.waiting, minVersion: version}
		a.waiting = nil
		return result
	}
	minVersion := max(a.highestReportedVersion, releasedVersion)
	switch {
	case version == 0:
		return admissionResult{reason: "instance holds no configuration and cannot reach the quorum"}
	case !a.releasedRecovered && !a.barrierSucceeded:
		return admissionResult{reason: "instance restarted without its released version and cannot reach the quorum"}
	case version < minVersion:
		return admissionResult{reason: "instance is behind the zone's lower bound and cannot reach the quorum"}
	}
	result := admissionResult{admitted: a.waiting, minVersion: minVersion}
	a.waiting = nil
	return result
}

// removeWaiting removes a closed session from the waiting ones.
func (a *admission) removeWaiting(id uint64) {
	a.waiting = removeID(a.waiting, id)
	a.waitingForNext = removeID(a.waitingForNext, id)
}

// removeID removes id from the list in place.
func removeID(list []uint64, id uint64) []uint64 {
	out := list[:0]
	for _, x := range list {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}
