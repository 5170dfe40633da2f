package httpcall

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzForwardedTarget guards against a request target that reaches the upstream in another spelling than the
// client's, and against one that adds a line to the request.
func FuzzForwardedTarget(f *testing.F) {
	for _, target := range []string{
		"/", "/a|b", "/a%2Fb", "/a%2fb", "//a", "//a|b", "/a//b", "/./../a", "/a?", "/a?x=|", "/a;b", "/\xc3\xa9\xff", "/a#b", "/%zz", "/a\rb", "/a%0d%0ab",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") {
			return // other forms of targets name no path
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil || r.RequestURI != target {
			return // refused, or the input has more than a target
		}
		u, err := ForwardedURL(r.URL)
		if err != nil {
			return // refused
		}
		var out bytes.Buffer
		if err := (&http.Request{Method: "GET", URL: &u, Host: "h", Header: http.Header{}}).Write(&out); err != nil {
			return // not sent
		}
		line, _, _ := strings.Cut(out.String(), "\r\n")
		if want := "GET " + target + " HTTP/1.1"; line != want {
			t.Fatalf("target %q is sent as %q", target, line)
		}
	})
}
