package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. While it is cut, it passes nothing on and leaves the
// connections open, as a network partition does.
type proxy struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut chan struct{}
}

func newProxy(ip, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.join(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCut cuts the proxy, or heals it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.cut == nil:
		p.cut = make(chan struct{})
	case !cut && p.cut != nil:
		close(p.cut)
		p.cut = nil
	}
}

// hold waits while the proxy is cut.
func (p *proxy) hold() {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

// join connects a connection with the target.
func (p *proxy) join(client net.Conn) {
	p.hold()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.copy(server, client)
	p.copy(client, server)
}

// copy passes bytes one way until either side ends.
func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.hold()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
