package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// wire passes connections on to an address, or is cut: it takes connections and passes nothing on.
type wire struct {
	listener net.Listener
	target   string
	cut      bool
}

// newWire starts a wire to an address.
func newWire(target string, cut bool) (*wire, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &wire{listener: ln, target: target, cut: cut}
	go w.accept()
	return w, nil
}

// accept passes connections on until the listener is closed.
func (w *wire) accept() {
	for {
		from, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.join(from)
	}
}

// join passes the bytes of one connection on. A cut wire leaves the connection open, without a byte.
func (w *wire) join(from net.Conn) {
	defer func() { _ = from.Close() }()
	if w.cut {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
}

// Names of the hosts' table in the store.
const (
	hostsTable = "trefoilchute-hosts"
	hostsPart  = "hosts"
)

// storeGate is how a host reaches the store. Where a host registers the address of its links, the
// gate registers that of the wire to it instead: two processes on one machine have no network
// between them that could be cut.
type storeGate struct {
	proxy *httputil.ReverseProxy
	mu    sync.Mutex
	// wires maps the address of a host's links to that of the wire to it.
	wires map[string]string
}

// newStoreGate starts a gate to the store and returns its address.
func newStoreGate(storeAddress string, wires map[string]string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	g := &storeGate{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: storeAddress}), wires: wires}
	g.proxy.ErrorLog = log.New(io.Discard, "", 0)
	go func() { _ = http.Serve(ln, g) }()
	return ln.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		body = g.readdress(body)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	g.proxy.ServeHTTP(w, r)
}

// readdress replaces the links' address in the rows of hosts. Anything else stays as it is.
func (g *storeGate) readdress(body []byte) []byte {
	var tx struct {
		Conditions json.RawMessage `json:"expected_rev"`
		Puts       []struct {
			Table string `json:"table"`
			Part  string `json:"part"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Removes json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return body
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range tx.Puts {
		if p := &tx.Puts[i]; p.Table == hostsTable && p.Part == hostsPart {
			for own, other := range g.wires {
				p.Value = bytes.ReplaceAll(p.Value, []byte(own), []byte(other))
			}
		}
	}
	out, err := json.Marshal(tx)
	if err != nil {
		return body
	}
	return out
}
