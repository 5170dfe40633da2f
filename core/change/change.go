// Package change defines the changes that operators submit, the decisions about
// them, and the checks that need no state. It does no I/O; the JSON field names
// are those of the operators' API and of the replicated log.
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

// MaxIDBytes bounds a change ID.
const MaxIDBytes = 64

// Kind tells what a change is about.
type Kind string

// Kinds of changes.
const (
	KindTemplate Kind = "template"
	KindTeam     Kind = "team"
	// KindConfiguration is a whole configuration; see resource.Configuration.
	KindConfiguration Kind = "configuration"
)

// Action tells what a change does.
type Action string

// Actions. Put creates, revise replaces, withdraw removes.
const (
	ActionPut      Action = "put"
	ActionRevise   Action = "revise"
	ActionWithdraw Action = "withdraw"
)

// Roles of operators. An operator without roles may only read.
const (
	// RoleTeam allows changes of the teams of the operator's organisation.
	RoleTeam = "team"
	// RoleTemplate allows changes of templates, which all organisations share.
	RoleTemplate = "template"
)

// Change is one change as submitted by an operator.
type Change struct {
	// ID identifies the change; a resend carries the same one.
	ID string `json:"id"`
	// Operator, Organisation and Roles are filled in from the operator's token.
	Operator     string   `json:"operator,omitempty"`
	Organisation string   `json:"organisation,omitempty"`
	Roles        []string `json:"roles,omitempty"`
	Kind         Kind     `json:"kind"`
	Action       Action   `json:"action"`
	Name         string   `json:"name"`
	// ExpectedRevision is the revision that revise and withdraw replace; 0 for put.
	ExpectedRevision uint64 `json:"expected_revision,omitzero"`
	// Body is the template or team; absent for withdraw.
	Body jsontext.Value `json:"body,omitzero"`
}

// Digest identifies the content of the change without its ID. Two operators
// never share a digest, so that none gets the answer to another one's change.
func (c *Change) Digest() string {
	h := sha256.New()
	part := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	for _, s := range []string{c.Operator, c.Organisation, string(c.Kind), string(c.Action), c.Name} {
		part([]byte(s))
	}
	part(binary.BigEndian.AppendUint64(nil, c.ExpectedRevision))
	part(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Content is the decoded body of a change: one of the two, or none for withdraw.
type Content struct {
	Template *resource.Template
	Team     *resource.Team
}

// Decode decodes the body and makes every check that depends on nothing but the
// change itself. A change that fails it can never take effect. The refusal is nil
// when the change passes.
func (c *Change) Decode() (Content, *Refusal) {
	if r := c.CheckHead(); r != nil {
		return Content{}, r
	}
	if c.Action == ActionWithdraw {
		return Content{}, nil
	}
	if c.Kind == KindTemplate {
		t, err := resource.DecodeTemplate(c.Body)
		if err == nil && t.Name != c.Name {
			err = differ("name", t.Name, c.Name)
		}
		if err != nil {
			return Content{}, malformed(err)
		}
		return Content{Template: t}, nil
	}
	t, err := resource.DecodeTeam(c.Body)
	if err == nil && t.Name != c.Name {
		err = differ("name", t.Name, c.Name)
	}
	if err != nil {
		return Content{}, malformed(err)
	}
	return Content{Team: t}, nil
}

// Authorise checks the scope of the operator. It is part of the decision in the
// log and not of the checks before it: the roles of an operator may be taken away
// while an earlier attempt with the same ID is still undecided.
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

// CheckHead checks all fields but the body and the operator's scope.
func (c *Change) CheckHead() *Refusal {
	if err := c.checkHead(); err != nil {
		return malformed(err)
	}
	return nil
}

func (c *Change) checkHead() error {
	if err := CheckID(c.ID); err != nil {
		return err
	}
	for _, f := range []struct{ field, value string }{{"operator", c.Operator}, {"organisation", c.Organisation}, {"name", c.Name}} {
		if err := resource.CheckName(f.field, f.value); err != nil {
			return err
		}
	}
	if len(c.Roles) > 8 {
		return invalid("roles", "%d roles are above the limit of 8", len(c.Roles))
	}
	if c.Kind == KindConfiguration {
		return c.checkConfiguration()
	}
	if c.Kind != KindTemplate && c.Kind != KindTeam {
		return invalid("kind", "%q is not one of template, team", clip(string(c.Kind)))
	}
	switch c.Action {
	case ActionPut:
		if c.ExpectedRevision != 0 {
			return invalid("expected_revision", "must be absent for put")
		}
	case ActionRevise, ActionWithdraw:
		if c.ExpectedRevision == 0 {
			return invalid("expected_revision", "is required for %s", c.Action)
		}
	default:
		return invalid("action", "%q is not one of put, revise, withdraw", clip(string(c.Action)))
	}
	if (c.Action == ActionWithdraw) != (len(c.Body) == 0) {
		return invalid("body", "must be given for put and revise and absent for withdraw")
	}
	return nil
}

// checkConfiguration checks what a change of the whole configuration carries
// beside its body, which states its own base.
func (c *Change) checkConfiguration() error {
	put := c.Action == ActionPut && c.ExpectedRevision == 0
	revise := c.Action == ActionRevise && c.ExpectedRevision != 0
	if !put && !revise || len(c.Body) == 0 {
		return invalid("action", "a configuration is put as a whole, or revised by a patch of an earlier one")
	}
	return nil
}

// CheckID refuses IDs that are not 1 to MaxIDBytes bytes of letters, digits, ".",
// "_" and "-".
func CheckID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return invalid("id", "must have 1 to %d bytes", MaxIDBytes)
	}
	for i := range len(id) {
		b := id[i]
		alnum := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alnum && b != '-' && b != '_' && b != '.' {
			return invalid("id", "may have letters, digits, dot, hyphen and underscore only")
		}
	}
	return nil
}

func differ(field, body, change string) error {
	return invalid("body/"+field, "%q differs from %q of the change", body, change)
}

func invalid(field, format string, args ...any) error {
	return &resource.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func malformed(err error) *Refusal { return &Refusal{ReasonMalformed, err.Error()} }
