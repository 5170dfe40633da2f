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

// minTokenBytes is the length of 128 random bits in hexadecimal, halved for
// denser alphabets.
const minTokenBytes = 16

// Identity is what a token proves.
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

// tokens maps tokens to identities. It keeps keyed hashes only and is immutable.
type tokens struct {
	key  []byte
	list []hashed
}

type hashed struct {
	sum [sha256.Size]byte
	who Identity
}

// newTokens validates the entries and hashes their tokens. Errors never contain
// a token.
func newTokens(key []byte, entries []tokenEntry) (*tokens, error) {
	t := &tokens{key: key}
	for i, e := range entries {
		at := func(name string) string { return fmt.Sprintf("%d/%s", i, name) }
		if err := resource.CheckName(at("name"), e.Name); err != nil {
			return nil, err
		}
		if err := resource.CheckName(at("organisation"), e.Organisation); err != nil {
			return nil, err
		}
		for _, r := range e.Roles {
			if !slices.Contains([]string{change.RoleTeam, change.RoleTemplate}, r) {
				return nil, settings.Invalid(at("roles"), "%q is not one of team, template", r)
			}
		}
		if len(e.Token) < minTokenBytes || strings.ContainsAny(e.Token, " \t\r\n") {
			return nil, settings.Invalid(at("token"), "must have at least %d bytes and no spaces", minTokenBytes)
		}
		if _, taken := t.find(e.Token); taken {
			return nil, settings.Invalid(at("token"), "is used by another operator")
		}
		for _, h := range t.list {
			if h.who.Name == e.Name {
				return nil, settings.Invalid(at("name"), "%q is used twice", e.Name)
			}
		}
		t.list = append(t.list, hashed{sum: t.hash(e.Token), who: e.Identity})
	}
	return t, nil
}

func (t *tokens) hash(token string) (sum [sha256.Size]byte) {
	h := hmac.New(sha256.New, t.key)
	h.Write([]byte(token))
	h.Sum(sum[:0])
	return sum
}

// find returns the identity of a token. Its time depends neither on the token
// nor on the position of a match.
func (t *tokens) find(token string) (Identity, bool) {
	sum := t.hash(token)
	match := -1
	for i := range t.list {
		equal := subtle.ConstantTimeCompare(sum[:], t.list[i].sum[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Identity{}, false
	}
	return t.list[match].who, true
}
