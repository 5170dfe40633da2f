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
				// Regions are cut off for an hour at times.
				ForgetAfter: settings.Duration(2 * time.Hour), SnapshotEntries: 10000, SnapshotBytes: 64 << 20, KeepEntries: 2000,
			}
		},
		Check: func(in *kernel.Instance, s any) error {
			if in.DataFolder == "" && slices.Contains(s.(*Settings).Voters, in.Name) {
				return settings.Invalid("instance/data_folder", "%q is listed in quorum/voters and needs one", in.Name)
			}
			return nil
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newQuorum(c) },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Voters lists the instance names that have a vote. The first one composes the
	// group when it is formed with --bootstrap.
	Voters []string `json:"voters"`
	// OpenVoters is the number of voters of an open group, whose members are not
	// listed: the seeds form it, and instances that join take the place of voters
	// that are gone. 0 means that Voters lists them.
	OpenVoters int `json:"open_voters"`
	// ReplaceAfter is the silence after which a voter of an open group gives its
	// place to an instance that has joined.
	ReplaceAfter settings.Duration `json:"replace_after"`
	// ForgetAfter is the silence after which an instance of an open group that has no
	// vote is removed. It asks to join again when it returns.
	ForgetAfter settings.Duration `json:"forget_after"`
	// ElectionTimeout is the least time without a leader before an election.
	ElectionTimeout settings.Duration `json:"election_timeout"`
	// Heartbeat is the interval of the leader's idle messages to voters; learners
	// get every third one.
	Heartbeat settings.Duration `json:"heartbeat"`
	// SnapshotEntries and SnapshotBytes bound the log; above either a snapshot is taken.
	SnapshotEntries int `json:"snapshot_entries"`
	SnapshotBytes   int `json:"snapshot_bytes"`
	// KeepEntries stay in memory below a snapshot for followers that are a little behind.
	KeepEntries int `json:"keep_entries"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if (len(s.Voters) == 0) != (s.OpenVoters > 0) || s.OpenVoters < 0 {
		return settings.Invalid("voters", "must name at least one instance, unless open_voters is set in its place")
	}
	if s.ReplaceAfter.D() < s.ElectionTimeout.D() {
		return settings.Invalid("replace_after", "must be at least election_timeout")
	}
	if s.ForgetAfter.D() < s.ReplaceAfter.D() {
		return settings.Invalid("forget_after", "must be at least replace_after")
	}
	for i, v := range s.Voters {
		if v == "" || slices.Contains(s.Voters[:i], v) {
			return settings.Invalid("voters", "%q is empty or listed twice", v)
		}
	}
	// The bounds keep an election within its time and heartbeats from being missed by chance.
	if s.Heartbeat.D() < 10*time.Millisecond || s.ElectionTimeout.D() < 3*s.Heartbeat.D() {
		return settings.Invalid("election_timeout", "must be at least 3 heartbeats, and a heartbeat at least 10ms")
	}
	if s.SnapshotEntries < 1 || s.SnapshotBytes < 1 || s.KeepEntries < 0 {
		return settings.Invalid("snapshot_entries", "snapshot_entries and snapshot_bytes must be positive, keep_entries not negative")
	}
	return nil
}
