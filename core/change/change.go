// Package change defines the changes that operators submit, their outcomes, and the checks
// that need no state. It does no I/O. The JSON field names are part of the operators' API
// and of the replicated log.
package change

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/resource"
)

// MaxIDBytes is the maximum length of a change ID in bytes.
const MaxIDBytes = 64

// Kind is the kind of object to which a change applies.
type Kind string

// Kinds of changes.
const (
	KindTemplate Kind = "template"
	KindTeam     Kind = "team"
	// KindConfiguration is a whole configuration; see resource.Configuration.
	KindConfiguration Kind = "configuration"
)

// Action is the operation of a change.
type Action string

// Actions of changes.
const (
	// ActionPut creates an object, or replaces the whole configuration.
	ActionPut Action = "put"
	// ActionRevise replaces an object, or patches the whole configuration.
	ActionRevise Action = "revise"
	// ActionWithdraw removes an object.
	ActionWithdraw Action = "withdraw"
)

// Roles of operators. An operator without roles may only read.
const (
	// RoleTeam allows an operator to change the teams of its organisation.
	RoleTeam = "team"
	// RoleTemplate allows an operator to change templates, which all organisations share.
	RoleTemplate = "template"
)

// Change is one change as submitted by an operator.
type Change struct {
	// ID identifies the change. A resend has the same ID.
	ID string `json:"id"`
	// Operator is the name of the operator. Like Organisation and Roles, it is taken from the
	// operator's token.
	Operator     string   `json:"operator,omitempty"`
	Organisation string   `json:"organisation,omitempty"`
	Roles        []string `json:"roles,omitempty"`
	Kind         Kind     `json:"kind"`
	Action       Action   `json:"action"`
	Name         string   `json:"name"`
	// ExpectedRevision is the revision that revise or withdraw replaces; 0 for put.
	ExpectedRevision uint64 `json:"expected_revision,omitzero"`
	// Body is the template, team, configuration or patch; absent for withdraw.
	Body jsontext.Value `json:"body,omitzero"`
}

// Digest returns a hash of the change without its ID and roles. The hash covers the operator,
// so that an operator who reuses the ID of another operator's change does not get the answer
// to that change.
func (c *Change) Digest() string {
	h := sha256.New()
	writeField := func(b []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		h.Write(length[:])
		h.Write(b)
	}
	for _, s := range []string{c.Operator, c.Organisation, string(c.Kind), string(c.Action), c.Name} {
		writeField([]byte(s))
	}
	writeField(binary.BigEndian.AppendUint64(nil, c.ExpectedRevision))
	writeField(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Content is the decoded body of a change. One field is set, or none for withdraw.
type Content struct {
	Template *resource.Template
	Team     *resource.Team
}

// Decode decodes the body and performs all checks that depend only on the change itself. A
// change that fails one of them can never take effect. The refusal is nil if the change
// passes.
func (c *Change) Decode() (Content, *Refusal) {
	if r := c.CheckEnvelope(); r != nil {
		return Content{}, r
	}
	if c.Action == ActionWithdraw {
		return Content{}, nil
	}
	if c.Kind == KindTemplate {
		t, err := resource.DecodeTemplate(c.Body)
		if err == nil && t.Name != c.Name {
			err = newMismatchError("name", t.Name, c.Name)
		}
		if err != nil {
			return Content{}, newMalformedRefusal(err)
		}
		return Content{Template: t}, nil
	}
	t, err := resource.DecodeTeam(c.Body)
	if err == nil && t.Name != c.Name {
		err = newMismatchError("name", t.Name, c.Name)
	}
	if err != nil {
		return Content{}, newMalformedRefusal(err)
	}
	return Content{Team: t}, nil
}

// Authorise checks that the roles and the organisation of the operator cover the change. It
// runs when the log entry is applied, not among the checks before the change is proposed:
// the roles of an operator may be revoked while an earlier attempt with the same ID is still
// undecided and may yet be accepted.
func (c *Change) Authorise(content Content) *Refusal {
	role := RoleTeam
	if c.Kind == KindTemplate {
		role = RoleTemplate
	}
	if !slices.Contains(c.Roles, role) {
		return &Refusal{ReasonForbidden, fmt.Sprintf("operator %q does not have the role %q", c.Operator, role)}
	}
	if t := content.Team; t != nil && t.Organisation != c.Organisation {
		return &Refusal{ReasonForbidden, fmt.Sprintf("operator %q is not of organisation %q", c.Operator, t.Organisation)}
	}
	return nil
}

// CheckEnvelope checks all fields except the content of the body. It does not check whether the
// operator may make the change, which Authorise does.
func (c *Change) CheckEnvelope() *Refusal {
	if err := c.checkEnvelope(); err != nil {
		return newMalformedRefusal(err)
	}
	return nil
}

func (c *Change) checkEnvelope() error {
	if err := CheckID(c.ID); err != nil {
		return err
	}
	for _, f := range []struct{ field, value string }{{"operator", c.Operator}, {"organisation", c.Organisation}, {"name", c.Name}} {
		if err := resource.CheckName(f.field, f.value); err != nil {
			return err
		}
	}
	if len(c.Roles) > 8 {
		return newFieldError("roles", "%d roles are above the limit of 8", len(c.Roles))
	}
	if c.Kind == KindConfiguration {
		return c.checkConfiguration()
	}
	if c.Kind != KindTemplate && c.Kind != KindTeam {
		return newFieldError("kind", "%q is not one of template, team", truncate(string(c.Kind)))
	}
	switch c.Action {
	case ActionPut:
		if c.ExpectedRevision != 0 {
			return newFieldError("expected_revision", "must be absent for put")
		}
	case ActionRevise, ActionWithdraw:
		if c.ExpectedRevision == 0 {
			return newFieldError("expected_revision", "is required for %s", c.Action)
		}
	default:
		return newFieldError("action", "%q is not one of put, revise, withdraw", truncate(string(c.Action)))
	}
	if (c.Action == ActionWithdraw) != (len(c.Body) == 0) {
		return newFieldError("body", "must be given for put and revise and absent for withdraw")
	}
	return nil
}

// checkConfiguration checks the action and the expected revision of a change of the whole
// configuration, and that it has a body. The base of the configuration is in the body and is
// not checked here.
func (c *Change) checkConfiguration() error {
	isPut := c.Action == ActionPut && c.ExpectedRevision == 0
	isRevise := c.Action == ActionRevise && c.ExpectedRevision != 0
	if !isPut && !isRevise || len(c.Body) == 0 {
		return newFieldError("action", "a configuration is put as a whole, or revised by a patch of an earlier one")
	}
	return nil
}

// CheckID returns an error unless id has 1 to MaxIDBytes bytes of letters, digits, ".", "_"
// and "-".
func CheckID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return newFieldError("id", "must have 1 to %d bytes", MaxIDBytes)
	}
	for i := range len(id) {
		b := id[i]
		isAlphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !isAlphanumeric && b != '-' && b != '_' && b != '.' {
			return newFieldError("id", "may have letters, digits, dot, hyphen and underscore only")
		}
	}
	return nil
}

// newMismatchError returns the error for a field of the body that differs from the same field
// of the change.
func newMismatchError(field, bodyValue, changeValue string) error {
	return newFieldError("body/"+field, "%q differs from %q of the change", bodyValue, changeValue)
}

func newFieldError(field, format string, args ...any) error {
	return &resource.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// truncate shortens a long value for an error message.
func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func newMalformedRefusal(err error) *Refusal { return &Refusal{ReasonMalformed, err.Error()} }
