package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// headCase is a response as bytes, with the bodies that a caller may get for it as a success; none if it is no response.
type headCase struct {
	bytes  string
	bodies []string
}

// oddHeads returns responses whose framing is repeated, in conflict, malformed or followed by more bytes. Where the end of the
// body depends on which of two statements is believed, the response is none (RFC 9112, section 6.3).
func oddHeads() map[string]headCase {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	ok := func(head, rest string) string { return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + rest }
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s) }
	hello := []string{"hello"}
	return map[string]headCase{
		"plain":                          {ok("Content-Length: 5\r\n", "hello"), hello},
		"length twice, equal":            {ok("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), hello},
		"length twice, different":        {ok("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"), nil},
		"length as a list of equals":     {ok("Content-Length: 5, 5\r\n", "hello"), hello},
		"length as a list":               {ok("Content-Length: 5, 6\r\n", "hello!"), nil},
		"negative length":                {ok("Content-Length: -5\r\n", "hello"), nil},
		"length with a sign":             {ok("Content-Length: +5\r\n", "hello"), nil},
		"length in hex":                  {ok("Content-Length: 0x5\r\n", "hello"), nil},
		"length too large":               {ok("Content-Length: 99999999999999999999\r\n", "hello"), nil},
		"empty length":                   {ok("Content-Length: \r\n", "hello"), nil},
		"length and chunks":              {ok("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunk("hello")), nil},
		"chunks and length":              {ok("Transfer-Encoding: chunked\r\nContent-Length: 80\r\n", chunk("hello")), nil},
		"chunks":                         {ok("Transfer-Encoding: chunked\r\n", chunk("hello")), hello},
		"chunked twice in one":           {ok("Transfer-Encoding: chunked, chunked\r\n", chunk("hello")), nil},
		"chunked in two fields":          {ok("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunk("hello")), nil},
		"unknown coding":                 {ok("Transfer-Encoding: x\r\n", "hello"), nil},
		"unknown coding, then chunks":    {ok("Transfer-Encoding: gzip, chunked\r\n", chunk("hello")), nil},
		"chunks, then identity":          {ok("Transfer-Encoding: chunked, identity\r\n", chunk("hello")), nil},
		"obscured chunked":               {ok("Transfer-Encoding: \x0bchunked\r\n", chunk("hello")), nil},
		"space before the colon":         {ok("Content-Length : 5\r\n", "hello"), nil},
		"folded length":                  {ok("Content-Length:\r\n 5\r\n", "hello"), hello},
		"NUL in a value":                 {ok("Content-Length: 5\r\nX-Odd: a\x00b\r\n", "hello"), hello},
		"field without colon":            {ok("Content-Length: 5\r\nodd\r\n", "hello"), nil},
		"field without name":             {ok("Content-Length: 5\r\n: odd\r\n", "hello"), nil},
		"bare LF":                        {"HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", hello},
		"CR CR LF at the end":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\r\n\r\nhello", nil},
		"empty line first":               {"\r\n" + ok("Content-Length: 5\r\n", "hello"), nil},
		"version 1.0":                    {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", hello},
		"version 2.0":                    {"HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", nil},
		"version 0.9":                    {"HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nhello", nil},
		"small letters":                  {"http/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", nil},
		"no reason":                      {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello", hello},
		"no bytes of a head":             {"hello", nil},
		"chunk size with a sign":         {ok("Transfer-Encoding: chunked\r\n", "+5\r\nhello\r\n0\r\n\r\n"), nil},
		"chunk size in 0x":               {ok("Transfer-Encoding: chunked\r\n", "0x5\r\nhello\r\n0\r\n\r\n"), nil},
		"negative chunk size":            {ok("Transfer-Encoding: chunked\r\n", "-5\r\nhello\r\n0\r\n\r\n"), nil},
		"empty chunk size":               {ok("Transfer-Encoding: chunked\r\n", "\r\nhello\r\n0\r\n\r\n"), nil},
		"chunk size too large":           {ok("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nhello\r\n0\r\n\r\n"), nil},
		"chunk without its end":          {ok("Transfer-Encoding: chunked\r\n", "5\r\nhelloX\r\n0\r\n\r\n"), nil},
		"chunk extension":                {ok("Transfer-Encoding: chunked\r\n", "5;a=b\r\nhello\r\n0\r\n\r\n"), hello},
		"trailer":                        {ok("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nX-Odd: 1\r\n\r\n"), hello},
		"no last chunk":                  {ok("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n"), nil},
		"no line after the last chunk":   {ok("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n"), nil},
		"body that is too short":         {ok("Content-Length: 50\r\n", "hello"), nil},
		"a response behind the body":     {ok("Content-Length: 5\r\n", "hello"+inner), hello},
		"a response behind the chunks":   {ok("Transfer-Encoding: chunked\r\n", chunk("hello")+inner), hello},
		"a response in the body":         {ok(fmt.Sprintf("Content-Length: %d\r\n", len(inner)), inner), []string{inner}},
		"a response in the chunks":       {ok("Transfer-Encoding: chunked\r\n", chunk(inner)), []string{inner}},
		"204 with a response as a body":  {"HTTP/1.1 204 No Content\r\nContent-Length: 43\r\n\r\n" + inner, []string{""}},
		"304 with a response as a body":  {"HTTP/1.1 304 Not Modified\r\nContent-Length: 43\r\n\r\n" + inner, []string{""}},
		"switch of protocols":            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\n" + inner, nil},
		"nine interim responses":         {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9) + ok("Content-Length: 5\r\n", "hello"), nil},
		"two interim responses":          {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2) + ok("Content-Length: 5\r\n", "hello"), hello},
		"interim response without a end": {"HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n", nil},
	}
}

// Guards against a caller that gets another body than that of the response, part of a malformed response as a success, or bytes that
// follow a response, over framings that are repeated, in conflict or malformed.
func TestOddResponseIsWholeOrNone(t *testing.T) {
	cases := oddHeads()
	f := newFleet(t, 9)
	f.cluster.EjectAfter, f.route.TimeoutMillis, f.bufferBytes = 1<<20, 3000, completeBufferBytes
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get("X-Case")
		if name == "" {
			_, _ = io.WriteString(w, "own answer to "+r.URL.Path)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, cases[name].bytes)
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	}))
	caller := f.addNode("b", "z1", nil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			got := caller.call("POST", "north", "/odd", "x", "X-Case", name)
			success := got.err == nil && got.status < 400
			expected := false
			for _, body := range tc.bodies {
				expected = expected || got.body == body
			}
			if success && !expected {
				t.Errorf("status %d with the body %q", got.status, got.body)
			}
			if !success && (got.err != nil || got.status != http.StatusBadGateway || got.verdict != "may-have-run") {
				t.Errorf("status %d (%s), error %v", got.status, got.verdict, got.err)
			}
			if len(tc.bodies) > 0 && !success {
				t.Logf("refused: status %d", got.status)
			}
			if d := time.Since(began); d > time.Second {
				t.Errorf("answered after %v", d)
			}
			time.Sleep(50 * time.Millisecond) // the end of the connection has arrived
			if next := caller.call("POST", "north", "/next", "x"); next.body != "own answer to /next" {
				t.Errorf("the next call got %d %q, %v", next.status, next.body, next.err)
			}
		})
	}
}
