package httpcall

import (
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// errTargetChanges is returned for a request target that net/http cannot send as it was received.
var errTargetChanges = errors.New("path starts with // and has characters that must be escaped")

// ForwardedURL returns the URL with which a received request is sent on, so that its path and query are
// those that the client sent, byte for byte. net/http escapes characters that a URI must not contain,
// such as | and {, unless the path is given as an opaque URL.
func ForwardedURL(u *url.URL) (url.URL, error) {
	out := *u
	out.Scheme, out.Host, out.User = "", "", nil
	if u.RawPath == "" || u.EscapedPath() == u.RawPath {
		return out, nil
	}
	if strings.HasPrefix(u.RawPath, "//") {
		return out, errTargetChanges // an opaque URL with this prefix gets a scheme
	}
	out.Opaque, out.Path, out.RawPath = u.RawPath, "", ""
	return out, nil
}
