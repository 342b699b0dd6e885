package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass.
type mode int

// Modes of a proxy.
const (
	pass mode = iota
	// delayed holds every piece for a while.
	delayed
	// silent passes nothing on and leaves connections open; toClient and toServer
	// do so one way.
	silent
	toClient
	toServer
)

// delay is what a delayed proxy adds to each piece.
const delay = 150 * time.Millisecond

// proxy passes connections on to an address, and spoils them on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
	// changed is closed, and replaced, when the mode changes.
	changed chan struct{}
}

// newProxy starts a proxy on a loopback port.
func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(pass)
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

// join connects a connection to the target and passes bytes both ways.
func (p *proxy) join(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	go p.copy(server, client, toServer)
	p.copy(client, server, toClient)
	p.untrack(client, server)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// copy passes bytes one way until either side ends.
func (p *proxy) copy(to, from net.Conn, way mode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(way)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.hold(way)
			}
			return
		}
	}
}

// hold waits for as long as the mode keeps bytes of one way back.
func (p *proxy) hold(way mode) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch m {
		case delayed:
			time.Sleep(delay)
			return
		case silent, way:
			<-changed
		default:
			return
		}
	}
}
