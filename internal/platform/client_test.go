package platform_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

// startStandin starts a platform stand-in and returns it with a client.
func startStandin(t *testing.T, options standin.Options) (*standin.Server, *platform.Client) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := standin.New(options)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := platform.NewClient("http://"+listener.Addr().String(), platform.Options{})
	t.Cleanup(func() {
		client.Close()
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	})
	return server, client
}

// startScripted starts a server that sends the given answers in order. It closes a
// connection after the last answer, or instead of an empty one. It returns the
// server's address and a counter of the requests read.
func startScripted(t *testing.T, answers ...string) (addr string, read *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	read = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAnswers(conn, read, answers)
		}
	}()
	return listener.Addr().String(), read
}

// serveAnswers serves a connection of a scripted server.
func serveAnswers(conn net.Conn, read *atomic.Int32, answers []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n := int(read.Add(1))
		if n > len(answers) || answers[n-1] == "" {
			return
		}
		_, _ = io.WriteString(conn, answers[n-1])
		if n == len(answers) {
			return
		}
	}
}

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

var create = platform.Txn{
	Conditions: []platform.Condition{{Key: "a/1"}},
	Puts:       []platform.Put{{Key: "a/1", Value: []byte("one")}, {Key: "a/2", Value: []byte("two")}},
}

func TestClientWritesAndReadsRows(t *testing.T) {
	g := NewWithT(t)
	_, client := startStandin(t, standin.Options{})
	ctx := t.Context()

	_, err := client.Get(ctx, "a/1")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
	version, err := client.Commit(ctx, create)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Commit(ctx, create)
	g.Expect(err).To(MatchError(platform.ErrConflict))

	row, err := client.Get(ctx, "a/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row).To(Equal(platform.Row{Key: "a/1", Value: []byte("one"), Version: version}))
	rows, err := client.List(ctx, "a/", "a/1", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(1))
	g.Expect(rows[0].Key).To(Equal("a/2"))
}

func TestClientDistinguishesLostAnswerFromRefusal(t *testing.T) {
	g := NewWithT(t)
	server, client := startStandin(t, standin.Options{})
	ctx := t.Context()

	server.Set(standin.Switches{Down: true})
	_, err := client.Commit(ctx, create)
	g.Expect(err).To(MatchError(platform.ErrUnavailable))

	server.Set(standin.Switches{DropWrites: 1, LoseAnswers: 1})
	_, err = client.Commit(ctx, create)
	g.Expect(err).To(MatchError(platform.ErrAmbiguous))
	_, err = client.Get(ctx, "a/1")
	g.Expect(err).To(MatchError(platform.ErrNotFound), "the dropped write has no effect")

	_, err = client.Commit(ctx, create)
	g.Expect(err).To(MatchError(platform.ErrAmbiguous))
	_, err = client.Get(ctx, "a/1")
	g.Expect(err).NotTo(HaveOccurred(), "the write whose answer was lost has its effect")
	g.Expect(server.Counters()).To(Equal(standin.Counters{
		Reads: 2, Writes: 3, Refused: 1, Lost: 2,
		Operations: map[standin.Operation]uint64{standin.OperationGet: 2, standin.OperationCommit: 3},
	}))
}

func TestReserveReturnsRateLimitWait(t *testing.T) {
	g := NewWithT(t)
	_, client := startStandin(t, standin.Options{WeightInterval: time.Hour})
	_, err := client.Reserve(t.Context(), "m")
	g.Expect(err).NotTo(HaveOccurred())
	wait, err := client.Reserve(t.Context(), "m")
	g.Expect(err).To(MatchError(platform.ErrLimited))
	g.Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Hour)))
}

// TestClientNeverRetries guards against the HTTP library's own retries: with
// MaxIdemponentCallAttempts and RetryIfErr unset, the server reads PUT and GET
// calls five times.
func TestClientNeverRetries(t *testing.T) {
	calls := map[string]func(*platform.Client) error{
		"put": func(c *platform.Client) error { return c.PutObject(t.Context(), "k", []byte("v")) },
		"commit": func(c *platform.Client) error {
			_, err := c.Commit(t.Context(), create)
			return err
		},
		"register": func(c *platform.Client) error { return c.Register(t.Context(), platform.HostEntry{}) },
	}
	for name, call := range calls {
		t.Run(name+" on a new connection", func(t *testing.T) {
			g := NewWithT(t)
			addr, read := startScripted(t)
			client := platform.NewClient("http://"+addr, platform.Options{})
			g.Expect(call(client)).To(MatchError(platform.ErrAmbiguous))
			g.Expect(read.Load()).To(BeEquivalentTo(1))
		})
		t.Run(name+" on a reused connection", func(t *testing.T) {
			g := NewWithT(t)
			addr, read := startScripted(t, emptyOK, "")
			client := platform.NewClient("http://"+addr, platform.Options{})
			g.Expect(client.PutObject(t.Context(), "first", nil)).To(Succeed())
			g.Expect(call(client)).To(MatchError(platform.ErrAmbiguous))
			g.Expect(read.Load()).To(BeEquivalentTo(2))
		})
	}
	t.Run("get", func(t *testing.T) {
		g := NewWithT(t)
		addr, read := startScripted(t)
		_, err := platform.NewClient("http://"+addr, platform.Options{}).Get(t.Context(), "k")
		g.Expect(err).To(MatchError(platform.ErrUnavailable))
		g.Expect(read.Load()).To(BeEquivalentTo(1))
	})
}

func TestClientClassifiesAnswers(t *testing.T) {
	cases := map[string]struct {
		answer string
		write  error
		read   error
	}{
		"refused before effect": {
			"HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderRefused + ": yes\r\nContent-Length: 0\r\n\r\n",
			platform.ErrUnavailable, platform.ErrUnavailable,
		},
		"503 from an intermediary": {
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
			platform.ErrAmbiguous, platform.ErrUnavailable,
		},
		"500": {
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
			platform.ErrAmbiguous, platform.ErrUnavailable,
		},
		"truncated header": {"HTTP/1.1 200", platform.ErrAmbiguous, platform.ErrUnavailable},
		"truncated body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
			platform.ErrAmbiguous, platform.ErrUnavailable,
		},
		"invalid body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
			platform.ErrAmbiguous, platform.ErrUnavailable,
		},
		"limited": {
			"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
			platform.ErrLimited, platform.ErrLimited,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, _ := startScripted(t, c.answer)
			client := platform.NewClient("http://"+addr, platform.Options{Timeout: time.Second})
			_, err := client.Commit(t.Context(), create)
			g.Expect(err).To(MatchError(c.write))

			addr, _ = startScripted(t, c.answer)
			client = platform.NewClient("http://"+addr, platform.Options{Timeout: time.Second})
			_, err = client.Get(t.Context(), "k")
			g.Expect(err).To(MatchError(c.read))
		})
	}
}

func TestClientRefusesWithoutSending(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	client := platform.NewClient("http://"+listener.Addr().String(), platform.Options{})
	_, err = client.Commit(t.Context(), create)
	g.Expect(err).To(MatchError(platform.ErrUnavailable), "connection refused")

	addr, read := startScripted(t, emptyOK)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	err = platform.NewClient("http://"+addr, platform.Options{}).PutObject(ended, "k", nil)
	g.Expect(err).To(MatchError(platform.ErrUnavailable), "the context is canceled")
	g.Expect(read.Load()).To(BeZero())
}

func TestClientTimesOut(t *testing.T) {
	g := NewWithT(t)
	// The kernel accepts connections, but nothing reads or answers.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client := platform.NewClient("http://"+listener.Addr().String(), platform.Options{Timeout: 20 * time.Millisecond})
	_, err = client.Commit(t.Context(), create)
	g.Expect(err).To(MatchError(platform.ErrAmbiguous))
	_, err = client.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
}

func TestClientClosesUnresponsiveConnection(t *testing.T) {
	g := NewWithT(t)
	server, client := startStandin(t, standin.Options{})
	_, err := client.Commit(t.Context(), create)
	g.Expect(err).NotTo(HaveOccurred())
	server.Silence()
	hasty, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Get(hasty, "a/1")
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	_, err = client.Get(t.Context(), "a/1")
	g.Expect(err).NotTo(HaveOccurred())
}

// startSilencingServer starts a server whose first connections, silent in number,
// answer one call each, all once the last was read, and then become unresponsive.
// Later connections answer every call.
func startSilencingServer(t *testing.T, silent int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		var first []net.Conn
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if len(first) == silent {
				go serveAnswers(conn, &atomic.Int32{}, slices.Repeat([]string{emptyOK}, 100))
				continue
			}
			first = append(first, conn)
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			if len(first) < silent {
				continue
			}
			for _, c := range first {
				_, _ = io.WriteString(c, emptyOK)
			}
		}
	}()
	return listener.Addr().String()
}

// TestClientClosesIdleConnectionsAfterTimeout checks that a timeout closes the idle
// connections too: otherwise each unresponsive one would cost another timeout.
func TestClientClosesIdleConnectionsAfterTimeout(t *testing.T) {
	g := NewWithT(t)
	const silent = 4
	client := platform.NewClient("http://"+startSilencingServer(t, silent), platform.Options{Timeout: time.Minute})
	var calls conc.WaitGroup
	var failures atomic.Int32
	for range silent {
		calls.Go(func() {
			if client.PutObject(t.Context(), "k", nil) != nil {
				failures.Add(1)
			}
		})
	}
	calls.Wait()
	g.Expect(failures.Load()).To(BeZero())
	hasty, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	g.Expect(client.PutObject(hasty, "k", nil)).To(MatchError(platform.ErrAmbiguous))
	for range silent {
		g.Expect(client.PutObject(t.Context(), "k", nil)).To(Succeed())
	}
}
