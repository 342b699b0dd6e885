package capacity

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

// Speed of the engine stand-ins: fast enough that they aren't what is measured.
const (
	enginePrefill = 1e6
	engineDecode  = 200.0
	engineSlots   = 64
	engineCache   = 1 << 20
)

const (
	// anyPort lets the system choose a port of the loopback address.
	anyPort = "127.0.0.1:0"
	// hostLag is how late the platform's host list is.
	hostLag = time.Second
)

// Standins are a platform and engines on loopback addresses.
type Standins struct {
	// Platform is the platform's base URL.
	Platform string
	// Engines are the engines' addresses.
	Engines []string

	group   conc.WaitGroup
	closers []func() error
}

// server is a stand-in that serves a listener until it is closed.
type server interface {
	Serve(net.Listener) error
	Close() error
}

// StartStandins starts a platform and a number of engines, or nothing if it
// returns an error.
func StartStandins(engines int) (*Standins, error) {
	s := &Standins{}
	address, err := s.serve(standin.New(standin.Options{HostLag: hostLag}))
	if err != nil {
		return nil, err
	}
	s.Platform = "http://" + address
	if err := s.startEngines(engines); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startEngines starts a number of engines.
func (s *Standins) startEngines(count int) error {
	for i := range count {
		address, err := s.serve(engine.New(engine.Options{
			Name: "engine-" + strconv.Itoa(i), Model: Model, Fencing: resource.FencingEnforced,
			Speed: engine.Speed{
				PrefillRate: enginePrefill, DecodeRate: engineDecode, Slots: engineSlots, CacheTokens: engineCache,
			},
			LoadLag: time.Second, CacheLag: time.Second,
		}))
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, address)
	}
	return nil
}

// serve runs a stand-in on a port of its own and returns its address.
func (s *Standins) serve(srv server) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "capacity: listen")
	}
	s.group.Go(func() { _ = srv.Serve(listener) })
	s.closers = append(s.closers, srv.Close)
	return listener.Addr().String(), nil
}

// Close stops all stand-ins.
func (s *Standins) Close() {
	for _, c := range s.closers {
		_ = c()
	}
	s.group.Wait()
}
