// Package caller is a stand-in for a caller on the users' platform: it sends requests
// on connections that it keeps, and tells what came back to the byte.
package caller

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is what a caller sends.
type Request struct {
	Method, Host, Path string
	Attempt, Key       string
	// Limit is how long the caller waits.
	Limit time.Duration
	Body  string
	// PromptTokens and MaxTokens are sent if they aren't 0.
	PromptTokens, MaxTokens int
	// Parts is the list of the prompt's parts, as ID:TOKENS; empty: one part.
	Parts string
	// oddName and odd are a header that is sent instead of the usual one, if any; see SetOdd.
	oddName, odd string
	// HalfClose is when the caller closes its sending side after the request, to read on; 0: it
	// doesn't.
	HalfClose time.Duration
}

// Answer is what came back.
type Answer struct {
	// Status is 0 where no head of an answer came.
	Status int
	Header http.Header
	Body   string
	// Whole says that the body was read to its end.
	Whole bool
	// Sent says that the whole request was written.
	Sent  bool
	Began time.Time
	Ended time.Time
	Err   error
}

// Caller keeps one connection to one address. It isn't safe for concurrent use.
type Caller struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// dialTimeout is how long a caller waits for a connection.
const dialTimeout = time.Second

// New returns a caller that isn't connected.
func New(address string) *Caller {
	return &Caller{address: address}
}

// Close ends the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request on the kept connection, or on a new one, and reads its answer.
func (c *Caller) Do(q Request) (a Answer) {
	a.Began = time.Now()
	defer func() { a.Ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.Limit))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		a.Err = err
		c.Close()
		return a
	}
	a.Sent = true
	if q.HalfClose > 0 {
		time.Sleep(q.HalfClose)
		_ = c.conn.(*net.TCPConn).CloseWrite()
		defer c.Close()
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	if err != nil {
		a.Err = err
		c.Close()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Header, a.Body, a.Whole, a.Err = resp.StatusCode, resp.Header, string(body), err == nil, err
	if err != nil || resp.Close {
		c.Close()
	}
	return a
}

// text is the request as it is sent.
func (q *Request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", q.Method, q.Path, q.Host, q.Attempt)
	head += q.header("Deadline-Ms", fmt.Sprint(q.Limit.Milliseconds()))
	if q.Key != "" {
		head += "Credential: " + q.Key + "\r\n"
	}
	if q.PromptTokens > 0 {
		head += q.header("Model", "m") + q.header("Token-Usage", fmt.Sprintf("%d,%d", q.PromptTokens, q.MaxTokens)) +
			q.header("Prompt-Prefix", cmp.Or(q.Parts, fmt.Sprintf("aa:%d", q.PromptTokens)))
	}
	if q.oddName != "" {
		head += q.oddName + ": " + q.odd + "\r\n"
	}
	if q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return head + "\r\n" + q.Body
}

// header returns a header line, unless an odd value takes its place.
func (q *Request) header(name, value string) string {
	if name == q.oddName {
		return ""
	}
	return name + ": " + value + "\r\n"
}

// FigureHeaders is the number of headers that SetOdd can replace.
const FigureHeaders = 5

// figureHeaders are the headers whose values are decoded. Each "#" is a figure.
var figureHeaders = [FigureHeaders]struct{ name, value string }{
	{"Token-Usage", "#,#"}, {"Prompt-Prefix", "aa:60,bb:#,cc:#"}, {"Length-Hint", "#"}, {"Deadline-Ms", "#"}, {"Model", "#"},
}

// SetOdd replaces header n, from 0 to FigureHeaders-1, by one with the figures that figure returns.
func (q *Request) SetOdd(n int, figure func() string) {
	q.oddName, q.odd = figureHeaders[n].name, figureHeaders[n].value
	for strings.Contains(q.odd, "#") {
		q.odd = strings.Replace(q.odd, "#", figure(), 1)
	}
}

// Promises reports whether a status says that the request was not run.
func Promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Sealed reports whether an answer bears an endpoint's signature.
func (a *Answer) Sealed() bool {
	return a.Header.Get("Runner-Seal") != ""
}

// Leaving reports whether the endpoint said in its answer that it leaves.
func (a *Answer) Leaving() bool {
	return a.Header.Get("Server-Leaving") == "1"
}

// Attempt returns the name of the request that an answer is to; empty if it says none.
func (a *Answer) Attempt() string {
	return a.Header.Get("Attempt-Id")
}
