package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// rawRequest is a request as a client writes it.
type rawRequest struct {
	method, target, body string
	// header holds names and values in the order in which they are sent, without the headers of the connection.
	header  [][2]string
	chunked bool
}

// pieces returns up to n random elements of list, joined.
func pieces(r *rand.Rand, list []string, n int) string {
	var b strings.Builder
	for range r.IntN(n + 1) {
		b.WriteString(list[r.IntN(len(list))])
	}
	return b.String()
}

var (
	pathPieces = []string{
		"a", "B", "7", "/", "//", "/./", "/../", ".", "..", ";", ";v=1", "%2F", "%2f", "%41", "%7C", "%20", "%00", "%C3%A9", "+", "~", "!", "$", "&", "'", "(", "*",
		",", ":", "@", "=", "|", "{", "}", "\"", "^", "`", "\\", "<", ">", "[", "]", "#", "\xc3\xa9", "\xff",
	}
	queryPieces = []string{"a", "=", "&", "?", "/", "%2F", "%2f", "%", "%zz", "|", "{", "\"", "+", ";", "\xc3\xa9", "\xff", "#", "[", "'"}
	valuePieces = []string{"a", " ", "\t", "\"", ",", ";", "=", "\\", "é", "\xff", "\x80", "%0d%0a", "()", "{}", "?", "~"}
)

// newRawRequest returns a random request. Its target is valid more often than not.
func newRawRequest(r *rand.Rand, i int) rawRequest {
	q := rawRequest{method: []string{"GET", "POST", "PUT", "DELETE", "PATCH", "REPORT", "m-x"}[r.IntN(7)]}
	q.target = fmt.Sprintf("/%d/%s", i, pieces(r, pathPieces, 4))
	if r.IntN(6) == 0 {
		q.target = "/" + q.target // starts with two slashes
	}
	switch r.IntN(3) {
	case 0:
		q.target += "?" + pieces(r, queryPieces, 4)
	case 1:
		q.target += "?"
	}
	for j := range r.IntN(4) {
		q.header = append(q.header, [2]string{fmt.Sprintf("X-Own-%d", j%2), strings.Trim(pieces(r, valuePieces, 4), " \t")})
	}
	if q.method != "GET" && r.IntN(3) > 0 {
		bytes := make([]byte, r.IntN(20_000))
		for k := range bytes {
			bytes[k] = byte(r.Uint32())
		}
		q.body, q.chunked = string(bytes), r.IntN(2) == 0
	}
	return q
}

// encode returns the bytes of the request.
func (q rawRequest) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: north\r\nConnection: close\r\n", q.method, q.target)
	for _, h := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if q.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if q.body != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(q.body), q.body)
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	return b.String()
}

// values returns the values of each header in order.
func (q rawRequest) values() map[string][]string {
	out := map[string][]string{}
	for _, h := range q.header {
		out[h[0]] = append(out[h[0]], h[1])
	}
	return out
}

// Guards against requests whose method, target, header values or body reach the upstream in another spelling than
// the client's, and against requests that are refused and run all the same.
func TestRequestReachesTheUpstreamAsItCame(t *testing.T) {
	const count = 600
	requests := make([]rawRequest, count)
	r := rand.New(rand.NewPCG(29, 4))
	for i := range requests {
		requests[i] = newRawRequest(r, i)
	}
	var mu sync.Mutex
	seen := map[int]rawRequest{}
	f := newFleet(t, 9)
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got := rawRequest{method: r.Method, target: r.RequestURI, body: string(body)}
		for _, name := range slices.Sorted(maps.Keys(r.Header)) {
			for _, v := range r.Header[name] {
				if strings.HasPrefix(name, "X-Own-") {
					got.header = append(got.header, [2]string{name, v})
				}
			}
		}
		i := -1
		if _, err := fmt.Sscanf(strings.TrimLeft(r.RequestURI, "/"), "%d", &i); err != nil {
			t.Errorf("upstream got the target %q", r.RequestURI)
		}
		mu.Lock()
		seen[i] = got
		mu.Unlock()
	}))
	caller := f.addNode("b", "z1", nil)
	refused := 0
	for i, q := range requests {
		status := sendRaw(t, caller.callersAddress, q.encode())
		mu.Lock()
		got, ran := seen[i]
		mu.Unlock()
		switch {
		case status == http.StatusBadRequest && !ran && q.mayBeRefused():
			refused++
		case status != http.StatusOK || !ran:
			t.Errorf("%s %q: status %d, ran %v", q.method, q.target, status, ran)
		case got.method != q.method || got.target != q.target || got.body != q.body:
			t.Errorf("%s %q with %d bytes reached the upstream as %s %q with %d bytes", q.method, q.target, len(q.body), got.method, got.target, len(got.body))
		case !maps.EqualFunc(got.values(), q.values(), slices.Equal):
			t.Errorf("%s %q: headers %q reached the upstream as %q", q.method, q.target, q.header, got.header)
		}
	}
	t.Logf("%d of %d requests were refused with 400", refused, count)
}

// mayBeRefused reports whether the target starts with two slashes and has a character that a URI must not contain.
// net/http cannot send such a target unchanged.
func (q rawRequest) mayBeRefused() bool {
	path, _, _ := strings.Cut(q.target, "?")
	return strings.HasPrefix(path, "//") && strings.ContainsFunc(path, func(r rune) bool { return r >= 0x80 || strings.ContainsRune("|{}\"^`\\<>#", r) })
}

// sendRaw sends bytes on a connection of their own and returns the status of the answer; 0 if there is none.
func sendRaw(t *testing.T, address, bytes string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, bytes); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
