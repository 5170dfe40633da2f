package quorum

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "quorum",
		Needs: []string{"peer", "journal"},
		Settings: func() any {
			return &Settings{
				ElectionTimeout: settings.Duration(900 * time.Millisecond),
				Heartbeat:       settings.Duration(200 * time.Millisecond),
				ReplaceAfter:    settings.Duration(2 * time.Second),
				// A region can be cut off for an hour, and must not lose its members in that time.
				ForgetAfter: settings.Duration(2 * time.Hour), SnapshotEntries: 10000, SnapshotBytes: 8 << 20, KeepEntries: 2000, KeepBytes: 4 << 20,
				UncommittedBytes: 16 << 20, UnsavedBytes: 16 << 20,
			}
		},
		CheckFiles: func(in *kernel.Instance, s any) error {
			if in.DataFolder == "" && slices.Contains(s.(*Settings).Voters, in.Name) {
				return settings.FieldErrorf("instance/data_folder", "%q is listed in quorum/voters and needs one", in.Name)
			}
			return nil
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newQuorum(c) },
	})
}

// maxToleratedLosses bounds ToleratedLosses: a fleet has at most 16 control instances, and so at most
// 15 voters, since an even number tolerates no more losses than the odd one below it.
const maxToleratedLosses = 7

// Settings configures the plug-in.
type Settings struct {
	// Voters lists the names of the instances that vote. When the group is formed with
	// --bootstrap, the first one composes the group's first configuration.
	Voters []string `json:"voters"`
	// OpenVoters is the number of voters of an open group, whose members are not
	// listed: the seeds form the group, and instances that join replace voters that
	// have failed. 0 means that the group is not open and voters lists its voters.
	OpenVoters int `json:"open_voters"`
	// ToleratedLosses is the number of instances of an open group that may lose their disks at the
	// same time. The group then has at least 2*ToleratedLosses+1 voters, as soon as it has that many
	// instances.
	ToleratedLosses int `json:"tolerated_losses"`
	// ReplaceAfter is the time without a message from a voter of an open group after
	// which an instance that has joined replaces the voter.
	ReplaceAfter settings.Duration `json:"replace_after"`
	// ForgetAfter is the time without a message from a learner of an open group after
	// which the learner is removed. A removed learner that returns joins again.
	ForgetAfter settings.Duration `json:"forget_after"`
	// ElectionTimeout is the minimum time without a message from the leader before a
	// voter starts an election.
	ElectionTimeout settings.Duration `json:"election_timeout"`
	// Heartbeat is the interval of the leader's heartbeats to voters. Learners get them
	// at twice this interval.
	Heartbeat settings.Duration `json:"heartbeat"`
	// SnapshotEntries is the number of log entries applied since the last snapshot at
	// which a new one is taken.
	SnapshotEntries int `json:"snapshot_entries"`
	// SnapshotBytes is the size in bytes of the entries applied since the last snapshot
	// at which a new one is taken.
	SnapshotBytes int `json:"snapshot_bytes"`
	// KeepEntries is the number of entries below a snapshot that stay in memory, so that
	// followers slightly behind do not need the snapshot.
	KeepEntries int `json:"keep_entries"`
	// KeepBytes bounds the size in bytes of these entries.
	KeepBytes int `json:"keep_bytes"`
	// UncommittedBytes bounds the size in bytes of the proposals that a leader holds above the commit index. Further
	// ones are refused, and their operators send them again.
	UncommittedBytes int `json:"uncommitted_bytes"`
	// UnsavedBytes bounds the size in bytes of the entries that are not on the disk of this instance, while it hangs or
	// is full. At half of it, a leader passes its leadership on if the others go on without this disk.
	UnsavedBytes int `json:"unsaved_bytes"`
}

// targetVoters returns the number of voters of an open group. An entry is committed once a majority
// of them has it on disk, so that one copy is left after ToleratedLosses.
func (s *Settings) targetVoters() int { return max(s.OpenVoters, 2*s.ToleratedLosses+1) }

// learnerHeartbeatRatio is the interval of heartbeats to learners in heartbeats to voters. Heartbeats to
// learners are most of a leader's in a large group.
const learnerHeartbeatRatio = 2

// MaxConfirmationAge returns the age that the confirmation of a learner's state reaches between two
// heartbeats of a healthy group, without the time on links: a heartbeat confirms the time at which the
// learner answered the one before, and the next heartbeat renews that.
func (s *Settings) MaxConfirmationAge() time.Duration {
	return 2 * learnerHeartbeatRatio * s.Heartbeat.AsDuration()
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if (len(s.Voters) == 0) != (s.OpenVoters > 0) || s.OpenVoters < 0 {
		return settings.FieldErrorf("voters", "must name at least one instance if open_voters is 0, and none otherwise")
	}
	if s.ToleratedLosses < 0 || s.ToleratedLosses > maxToleratedLosses || s.ToleratedLosses > 0 && s.OpenVoters == 0 {
		return settings.FieldErrorf("tolerated_losses", "must be within 0..%d, and 0 unless open_voters is set", maxToleratedLosses)
	}
	if s.ReplaceAfter.AsDuration() < s.ElectionTimeout.AsDuration() {
		return settings.FieldErrorf("replace_after", "must be at least election_timeout")
	}
	if s.ForgetAfter.AsDuration() < s.ReplaceAfter.AsDuration() {
		return settings.FieldErrorf("forget_after", "must be at least replace_after")
	}
	for i, v := range s.Voters {
		if v == "" || slices.Contains(s.Voters[:i], v) {
			return settings.FieldErrorf("voters", "%q is empty or listed twice", v)
		}
	}
	// An election must complete within its timeout, and a few late heartbeats must not
	// start one.
	if s.Heartbeat.AsDuration() < 10*time.Millisecond || s.ElectionTimeout.AsDuration() < 3*s.Heartbeat.AsDuration() {
		return settings.FieldErrorf("election_timeout", "must be at least 3 heartbeats, and a heartbeat at least 10ms")
	}
	if s.SnapshotEntries < 1 || s.SnapshotBytes < 1 || s.KeepEntries < 0 || s.KeepBytes < 0 {
		return settings.FieldErrorf("snapshot_entries", "snapshot_entries and snapshot_bytes must be positive, keep_entries and keep_bytes not negative")
	}
	if s.UncommittedBytes < 1 || s.UnsavedBytes < 1 {
		return settings.FieldErrorf("uncommitted_bytes", "uncommitted_bytes and unsaved_bytes must be positive")
	}
	return nil
}
