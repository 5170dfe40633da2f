package change

import "github.com/celeryyard/celeryyard/core/resource"

// Reason is the code of a refusal.
type Reason string

// Reasons of refusals.
const (
	// ReasonMalformed: a field or the body of the change is invalid, or a patch of the
	// configuration does not fit its base.
	ReasonMalformed Reason = "malformed"
	// ReasonForbidden: the operator's organisation or roles do not cover the change.
	ReasonForbidden Reason = "forbidden"
	// ReasonExists: put of a name that already exists.
	ReasonExists Reason = "exists"
	// ReasonNotFound: revise or withdraw of a name that does not exist for the operator.
	ReasonNotFound Reason = "absent"
	// ReasonRevisionMismatch: the expected revision, or the base of a configuration, is not
	// the current one.
	ReasonRevisionMismatch Reason = "revision_mismatch"
	// ReasonInUse: withdraw of a template that is used by teams.
	ReasonInUse Reason = "in_use"
	// ReasonUnknownTemplate: the team's template does not exist.
	ReasonUnknownTemplate Reason = "unknown_template"
	// ReasonExpansionFailed: the template cannot be expanded for a team.
	ReasonExpansionFailed Reason = "expansion"
	// ReasonHostTaken: a host belongs to a team of another organisation.
	ReasonHostTaken Reason = "host_taken"
	// ReasonLimitExceeded: a limit of the catalog would be exceeded.
	ReasonLimitExceeded Reason = "limit"
	// ReasonIDReused: the ID was already used for a different change.
	ReasonIDReused Reason = "id_reused"
)

// Refusal is the reason why a change is refused.
type Refusal struct {
	Reason Reason
	// Text is the message for the operator. It names the field, team or host.
	Text string
}

// State is what is known about the effect of a change.
type State string

// States of changes.
const (
	// StateAccepted: the change is in force and never reverts.
	StateAccepted State = "accepted"
	// StateRefused: the change did not take effect and never will.
	StateRefused State = "refused"
	// StateUndecided: the change may or may not take effect. A resend with the same ID
	// returns the outcome.
	StateUndecided State = "undecided"
)

// Outcome is the answer to a change.
type Outcome struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Version is the catalog version that the change created; 0 unless accepted.
	Version resource.Version `json:"version,omitzero"`
	// Revision is the current revision of the object after the decision; 0 if the object
	// does not exist for the operator. It is the version of the object's last change, so
	// that a revision is never reused, even if the object is withdrawn and put again. The
	// revision of the whole configuration is its number.
	Revision uint64 `json:"revision,omitzero"`
	// Reason is empty unless the change is refused.
	Reason Reason `json:"reason,omitempty"`
	// Text is the message for the operator; empty unless the change is refused.
	Text string `json:"text,omitempty"`
}

// Record is the audit record of one decided change.
type Record struct {
	// Seq numbers records from 1 without gaps.
	Seq uint64 `json:"seq"`
	// Time is when the change was proposed, in Unix milliseconds of the proposer's clock.
	Time             int64  `json:"time"`
	Operator         string `json:"operator"`
	Organisation     string `json:"organisation"`
	Kind             Kind   `json:"kind"`
	Action           Action `json:"action"`
	Name             string `json:"name"`
	ExpectedRevision uint64 `json:"expected_revision,omitzero"`
	// Digest is the result of Change.Digest.
	Digest  string  `json:"digest,omitempty"`
	Outcome Outcome `json:"outcome"`
}
