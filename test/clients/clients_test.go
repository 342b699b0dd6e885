package clients_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

// client is one client of a crowd.
type client struct {
	w       *world
	conn    net.Conn
	attempt string
	// index tells the client among the others, and whole waits until all have sent all but the end
	// of what they send.
	index int
	whole func()
	// answered gets the status of each answer, and is closed with the connection.
	answered <-chan int
}

// send writes text. An error means that the connection was closed, which is allowed.
func (c *client) send(text string) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(patience))
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// sendBytes writes bytes.
func (c *client) sendBytes(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(patience))
	_, err := c.conn.Write(b)
	return err == nil
}

// head is the start of a request, up to its own header lines.
func (c *client) head(path, version string) string {
	return fmt.Sprintf("POST %s %s\r\nHost: app.test\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\nCredential: %s\r\n", path, version, c.attempt, key)
}

const (
	http11 = "HTTP/1.1"
	http10 = "HTTP/1.0"
)

// shortLines are as many distinct header lines as a head has room for.
var shortLines = sync.OnceValue(func() string {
	var b strings.Builder
	for i := 0; b.Len() < maxHeader-1024; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i+16)
	}
	return b.String()
})

// takenLines are somewhat fewer header lines than the settings' default takes.
func takenLines() string {
	return strings.Join(strings.SplitAfterN(shortLines(), "\n", 950)[:949], "")
}

// body is the longest body that the configuration allows.
var body = bytes.Repeat([]byte{'x'}, maxBody)

// lines sends a head of legal size with very many lines.
func lines(text func() string) func(*client) {
	return func(c *client) {
		if c.send(c.head("/once/x", http11) + "Content-Length: 0\r\n" + text()) {
			c.whole()
			c.send("\r\n")
		}
	}
}

// oddLines are legal lines: names of all token characters, empty values and one repeated name.
func oddLines() string {
	return strings.Repeat("!#$%&'*+.^_|~`-: \t \r\n~: \"a, b\"\r\n", (maxHeader-1024)/36)
}

// kept sends what another kind does on a connection that has served an ordinary request.
func kept(kind func(*client)) func(*client) {
	return func(c *client) {
		attempt := c.attempt
		c.attempt += "-first"
		if !c.send(c.head("/once/x", http11) + "Content-Length: 0\r\n\r\n") {
			return
		}
		if <-c.answered == 0 {
			return
		}
		c.attempt = attempt
		kind(c)
	}
}

// endless sends a text again and again, up to some MiB.
func endless(start, text string) func(*client) {
	return func(c *client) {
		block := strings.Repeat(text, 32<<10/len(text))
		if start != "" && !c.send(c.head("/once/x", http11)+start) {
			return
		}
		for range 8 << 20 / len(block) {
			if !c.send(block) {
				return
			}
		}
	}
}

// whole sends a whole body at once.
func whole(path, version string) func(*client) {
	return func(c *client) {
		if c.send(c.head(path, version) + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)) {
			c.sendBytes(body)
		}
	}
}

// piecemeal sends a body in parts, so that those of all clients grow side by side, but for its
// last bytes, and these together with the others unless it stops short.
func piecemeal(path string, stopsShort bool) func(*client) {
	return func(c *client) {
		if !c.send(c.head(path, http11) + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)) {
			return
		}
		const part = 64 << 10
		for at := 0; at < maxBody-part; at += part {
			if !c.sendBytes(body[at : at+part]) {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		if c.sendBytes(body[:part-1]); !stopsShort {
			c.whole()
			c.sendBytes(body[:1])
		}
	}
}

// chunks sends a body without a length, and not its end.
func chunks(c *client) {
	if !c.send(c.head("/twice/x", http11) + "Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	part := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, body[:32<<10])
	for range maxBody/(32<<10) - 1 {
		if !c.send(part) {
			return
		}
	}
}

// unread asks for a long answer and doesn't read it.
func unread(c *client) {
	_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.send(c.head("/big/x", http11) + "Content-Length: 0\r\n\r\n")
}

// idleConnection sends nothing.
func idleConnection(*client) {}

// mixed is each of the other kinds in turn.
func mixed(c *client) {
	single[c.index%len(single)].do(c)
}

// kind is what the clients of a crowd do.
type kind struct {
	name  string
	crowd int
	do    func(*client)
	// silent says that the clients don't read what is answered.
	silent bool
}

// single are the crowds of one kind. Each would need several times the memory or the descriptors of the
// process if everything were taken.
var single = []kind{
	{name: "many short header lines", crowd: 100, do: lines(shortLines)},
	{name: "as many header lines as are taken", crowd: 100, do: lines(takenLines)},
	{name: "odd header lines", crowd: 100, do: lines(oddLines)},
	{name: "short lines on kept connections", crowd: 100, do: kept(lines(shortLines))},
	{name: "a head over the limit", crowd: 100, do: endless("X-Long: ", "x")},
	{name: "a head without end", crowd: 100, do: endless("X: y\r\n", "X: y\r\n")},
	{name: "empty lines without end", crowd: 100, do: endless("", "\r\n")},
	{name: "empty lines on kept connections", crowd: 100, do: kept(endless("", "\r\n"))},
	{name: "bodies whole at once", crowd: 60, do: whole("/once/x", http11)},
	{name: "bodies that may be sent again", crowd: 60, do: whole("/twice/x", http11)},
	{name: "bodies over HTTP 1.0", crowd: 60, do: whole("/once/x", http10)},
	{name: "bodies on kept connections", crowd: 60, do: kept(whole("/once/x", http11))},
	{name: "bodies piecemeal", crowd: 60, do: piecemeal("/once/x", false)},
	{name: "bodies that stop short", crowd: 60, do: piecemeal("/twice/x", true)},
	{name: "chunks that stop short", crowd: 60, do: chunks},
	{name: "answers not read", crowd: 40, do: unread, silent: true},
	{name: "idle connections", crowd: 2 * descriptors, do: idleConnection},
}

// kinds are all crowds.
var kinds = append(slices.Clone(single), kind{name: "all mixed", crowd: 100, do: mixed})

// crowd lets clients do their part at once. It returns when each has sent what it sends or was
// closed; the connections stay open. The function that it returns closes them and waits for their
// answers' readers.
func (w *world) crowd(k kind) (statuses map[string]int, leave func()) {
	var sending, reading, gate sync.WaitGroup
	var mu sync.Mutex
	statuses = map[string]int{}
	gate.Add(k.crowd)
	var conns []net.Conn
	for i := range k.crowd {
		conn, err := net.DialTimeout("tcp", w.address, patience)
		if err != nil {
			w.t.Fatal(err)
		}
		conns = append(conns, conn)
		attempt := fmt.Sprintf("crowd-%d", i)
		// A client gets a few answers at most; the rest is dropped.
		answered := make(chan int, 4)
		if !k.silent {
			reading.Go(func() {
				defer close(answered)
				r := bufio.NewReader(conn)
				for {
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					mu.Lock()
					statuses[attempt] = resp.StatusCode
					mu.Unlock()
					select {
					case answered <- resp.StatusCode:
					default:
					}
				}
			})
		}
		sending.Go(func() {
			passed := sync.OnceFunc(gate.Done)
			defer passed()
			k.do(&client{w: w, conn: conn, attempt: attempt, index: i, answered: answered, whole: func() {
				passed()
				gate.Wait()
			}})
		})
	}
	sending.Wait()
	return statuses, func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		reading.Wait()
	}
}

// TestCrowds guards against clients that take a process beyond its memory or descriptors, end it
// or keep it from serving others, and against requests that are refused as not run, but were.
func TestCrowds(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			w := start(t)
			statuses, leave := w.crowd(k)
			w.expectServed("beside")
			w.expectBounds()
			leave()
			w.expectServed("after")
			w.expectBounds()
			w.expectNotRun(statuses)
		})
	}
}

// expectNotRun checks that what was refused as not run was not run.
func (w *world) expectNotRun(statuses map[string]int) {
	ran, count := w.ran(), map[int]int{}
	for attempt, status := range statuses {
		count[status]++
		if caller.Promises(status) {
			w.Expect(ran).NotTo(HaveKey(attempt))
		}
	}
	w.t.Logf("last statuses %v, %d runs", count, len(ran))
}

// TestPlannedStopAmongCrowds guards against clients that keep a process from its planned stop.
func TestPlannedStopAmongCrowds(t *testing.T) {
	for _, k := range []kind{kinds[0], kinds[13], kinds[15], kinds[len(kinds)-1]} {
		t.Run(k.name, func(t *testing.T) {
			w := start(t)
			stopped := time.AfterFunc(300*time.Millisecond, func() { _ = w.process.Process.Signal(syscall.SIGTERM) })
			defer stopped.Stop()
			peak := 0
			done := make(chan struct{})
			go func() {
				defer close(done)
				for w.lives() {
					if n := w.peak(); n > 0 {
						peak = n
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			statuses, leave := w.crowd(k)
			w.Eventually(w.lives, patience).Should(BeFalse())
			<-done
			leave()
			t.Logf("peak %d KiB", peak)
			w.Expect(w.process.ProcessState.ExitCode()).To(BeZero())
			w.Expect(peak).To(BeNumerically("<", memoryMB<<10))
			w.expectNotRun(statuses)
		})
	}
}

// TestOrdinaryClients guards against limits that ordinary clients reach: a body of the greatest
// size alone, with a length and without, sixteen usual ones at once, a head with many prompt parts,
// and legal lines of odd form, which must reach the endpoint unchanged.
func TestOrdinaryClients(t *testing.T) {
	w := start(t)
	status := func(request string) int {
		conn, err := net.DialTimeout("tcp", w.address, patience)
		w.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(patience))
		_, err = io.WriteString(conn, request)
		w.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		w.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	c := client{attempt: "long"}
	w.Expect(status(c.head("/once/x", http11) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBody, body))).To(Equal(200))
	c.attempt = "chunked"
	w.Expect(status(c.head("/twice/x", http11) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", maxBody, body))).To(Equal(200))
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			c := client{attempt: fmt.Sprintf("usual-%d", i)}
			w.Expect(status(c.head("/once/x", http11) + fmt.Sprintf("Content-Length: 72000\r\n\r\n%s", body[:72000]))).To(Equal(200))
		})
	}
	group.Wait()
	c.attempt = "odd"
	parts := strings.TrimSuffix(strings.Repeat("5c1e07a2:6550,", 1200), ",")
	odd := "!#$%&'*+.^_|~`-: \"a, b\"; c=(d)\r\nX-Empty:\r\nX-Tab: a\tb\r\nx-twice: 1\r\nX-TWICE: 2\r\nX-Utf8: \xc3\xa9\r\n"
	w.Expect(status(c.head("/once/x", http11) + "Token-Usage: 6610,385\r\nPrompt-Prefix: " + parts + "\r\n" + odd + "Content-Length: 0\r\n\r\n")).To(Equal(200))
	w.mu.Lock()
	defer w.mu.Unlock()
	got := w.headers["odd"]
	w.Expect(got["!#$%&'*+.^_|~`-"]).To(Equal([]string{"\"a, b\"; c=(d)"}))
	w.Expect(got["X-Empty"]).To(Equal([]string{""}))
	w.Expect(got["X-Tab"]).To(Equal([]string{"a\tb"}))
	w.Expect(got["X-Twice"]).To(Equal([]string{"1", "2"}))
	w.Expect(got["X-Utf8"]).To(Equal([]string{"\xc3\xa9"}))
	w.Expect(got["Prompt-Prefix"]).To(Equal([]string{parts}))
	w.expectBounds()
}
