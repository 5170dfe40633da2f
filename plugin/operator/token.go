package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// minTokenBytes is the minimum length of a token. It is half the length of 128 random bits in
// hexadecimal, because tokens may use a denser alphabet.
const minTokenBytes = 16

// Identity is the operator that a token authenticates.
type Identity struct {
	Name         string   `json:"name"`
	Organisation string   `json:"organisation"`
	Roles        []string `json:"roles"`
}

// tokenEntry is one operator in the tokens file.
type tokenEntry struct {
	Identity
	Token string `json:"token"`
}

// tokenTable maps tokens to identities. It is immutable and holds keyed hashes of the tokens, not
// the tokens themselves.
type tokenTable struct {
	key     []byte
	entries []hashedToken
}

type hashedToken struct {
	hash     [sha256.Size]byte
	identity Identity
}

// newTokenTable validates the entries and hashes their tokens. Its errors never contain a token.
func newTokenTable(key []byte, entries []tokenEntry) (*tokenTable, error) {
	t := &tokenTable{key: key}
	for i, e := range entries {
		field := func(name string) string { return fmt.Sprintf("%d/%s", i, name) }
		if err := resource.CheckName(field("name"), e.Name); err != nil {
			return nil, err
		}
		if err := resource.CheckName(field("organisation"), e.Organisation); err != nil {
			return nil, err
		}
		for _, r := range e.Roles {
			if !slices.Contains([]string{change.RoleTeam, change.RoleTemplate}, r) {
				return nil, settings.FieldErrorf(field("roles"), "%q is not one of team, template", r)
			}
		}
		if len(e.Token) < minTokenBytes || strings.ContainsAny(e.Token, " \t\r\n") {
			return nil, settings.FieldErrorf(field("token"), "must have at least %d bytes and no spaces", minTokenBytes)
		}
		if _, taken := t.find(e.Token); taken {
			return nil, settings.FieldErrorf(field("token"), "is used by another operator")
		}
		for _, h := range t.entries {
			if h.identity.Name == e.Name {
				return nil, settings.FieldErrorf(field("name"), "%q is used twice", e.Name)
			}
		}
		t.entries = append(t.entries, hashedToken{hash: t.hash(e.Token), identity: e.Identity})
	}
	return t, nil
}

func (t *tokenTable) hash(token string) (sum [sha256.Size]byte) {
	h := hmac.New(sha256.New, t.key)
	h.Write([]byte(token))
	h.Sum(sum[:0])
	return sum
}

// find returns the identity of a token. Its running time depends neither on the token's value nor on
// the position of the match.
func (t *tokenTable) find(token string) (Identity, bool) {
	sum := t.hash(token)
	match := -1
	for i := range t.entries {
		equal := subtle.ConstantTimeCompare(sum[:], t.entries[i].hash[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Identity{}, false
	}
	return t.entries[match].identity, true
}
