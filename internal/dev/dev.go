// Package dev runs a small deployment in one process on loopback addresses: the
// platform's stand-in, endpoint stand-ins of unlike speed, entry hosts in two
// failure domains, and sample resources.
package dev

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/host"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
)

const (
	// Key is the bearer key of the sample team "demo".
	Key = "demo-key"
	// anyPort lets the system choose a port of the loopback address.
	anyPort = "127.0.0.1:0"
	// drainGrace bounds the planned stop of a host.
	drainGrace = 10 * time.Second
	// secretBytes is the length of the secret between the hosts.
	secretBytes = 16
)

// Options configures a deployment.
type Options struct {
	// Address is the first entry host's address for callers.
	Address string
	// AdminAddress is the first entry host's address for operators.
	AdminAddress string
	Log          *logrus.Logger
	// Stdout gets the line that says that all is ready.
	Stdout io.Writer
}

// domains are the failure domains; each has a host and the endpoints below, and
// the first has a second host.
var domains = []ident.Domain{"zone-a", "zone-b"}

// hosts are the entry hosts with their domains.
var hosts = []struct {
	name   ident.Host
	domain ident.Domain
}{
	{"entry-1", domains[0]}, {"entry-2", domains[0]}, {"entry-3", domains[1]},
}

// engines are the model engines.
var engines = []struct {
	name    ident.Endpoint
	domain  ident.Domain
	prefill float64
	decode  float64
	slots   int
	cache   int
	fencing resource.Fencing
}{
	{"engine-a1", domains[0], 12000, 120, 8, 1 << 17, resource.FencingEnforced},
	{"engine-a2", domains[0], 4000, 60, 4, 1 << 15, resource.FencingIgnored},
	{"engine-b1", domains[1], 8000, 90, 8, 1 << 16, resource.FencingEnforced},
}

// deployment is a running deployment.
type deployment struct {
	opts     Options
	platform string
	group    conc.WaitGroup
	closers  []func()
	entries  []*host.Host
}

// Run serves until ctx ends.
func Run(ctx context.Context, opts Options) error {
	d := &deployment{opts: opts}
	life, end := context.WithCancel(context.Background())
	defer d.close(end)
	if err := d.start(life); err != nil {
		return err
	}
	if err := host.AwaitReady(ctx, d.entries); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.Stdout, "ready address=%s operators=%s key=%s model=%s\n",
		opts.Address, opts.AdminAddress, Key, model)
	<-ctx.Done()
	return nil
}

// start starts the stand-ins, declares the resources and starts the hosts.
func (d *deployment) start(life context.Context) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	items, err := d.startEndpoints()
	if err != nil {
		return err
	}
	client := platform.NewClient(d.platform, platform.Options{})
	defer client.Close()
	change := resource.Change{ID: uuid.NewString(), Items: append(sample(), items...)}
	if _, err := resource.NewStore(client).Apply(life, change); err != nil {
		return errors.Wrap(err, "dev: declare resources")
	}
	return d.startHosts(life)
}

// listen opens a loopback listener that is closed at the end.
func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", anyPort)
	return ln, errors.Wrap(err, "dev: listen")
}

// startPlatform starts the platform's stand-in.
func (d *deployment) startPlatform() error {
	ln, err := listen()
	if err != nil {
		return err
	}
	server := standin.New(standin.Options{HostLag: time.Second})
	d.group.Go(func() { _ = server.Serve(ln) })
	d.closers = append(d.closers, func() { _ = server.Close() })
	d.platform = "http://" + ln.Addr().String()
	return nil
}

// startEndpoints starts the endpoints and returns their resources.
func (d *deployment) startEndpoints() ([]resource.Item, error) {
	var items []resource.Item
	for _, e := range engines {
		ln, err := listen()
		if err != nil {
			return nil, err
		}
		server := engine.New(engine.Options{
			Name: string(e.name), Model: model, Fencing: e.fencing,
			Speed: engine.Speed{
				PrefillRate: e.prefill, DecodeRate: e.decode, Slots: e.slots, CacheTokens: e.cache,
			},
			LoadLag: time.Second, CacheLag: time.Second,
		})
		d.group.Go(func() { _ = server.Serve(ln) })
		d.closers = append(d.closers, func() { _ = server.Close() })
		items = append(items, item(resource.KindEndpoint, string(e.name), resource.Endpoint{
			Name: e.name, Address: ln.Addr().String(), Domain: e.domain, Target: model,
			Type: resource.EndpointEngine, State: resource.EndpointActive, Slots: e.slots,
			PrefillRate: e.prefill, DecodeRate: e.decode, CacheTokens: e.cache, Fencing: e.fencing,
		}))
	}
	booking, err := d.startService()
	return append(items, booking), err
}

// startService starts the plain service and returns its resource.
func (d *deployment) startService() (resource.Item, error) {
	ln, err := listen()
	if err != nil {
		return resource.Item{}, err
	}
	server := service.New(service.Options{Name: "booking-a1"})
	d.group.Go(func() { _ = server.Serve(ln) })
	d.closers = append(d.closers, func() { _ = server.Close() })
	return item(resource.KindEndpoint, "booking-a1", resource.Endpoint{
		Name: "booking-a1", Address: ln.Addr().String(), Domain: domains[0], Target: bookings,
		Type: resource.EndpointService, State: resource.EndpointActive, Slots: 4,
		Fencing: resource.FencingIgnored,
	}), nil
}

// startHosts starts the entry hosts.
func (d *deployment) startHosts(life context.Context) error {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	for i, h := range hosts {
		s := settings.Entry{
			Host: h.name, Domain: h.domain, Listen: anyPort, AdminListen: anyPort,
			PeerListen: anyPort, Platform: d.platform, PeerSecret: hex.EncodeToString(secret),
			DrainGrace: drainGrace,
		}
		if i == 0 {
			s.Listen, s.AdminListen = d.opts.Address, d.opts.AdminAddress
		}
		entry, err := host.New(s, d.opts.Log)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
		d.group.Go(func() { _ = entry.Run(life) })
	}
	return nil
}

// close stops the hosts first and then what they use.
func (d *deployment) close(end context.CancelFunc) {
	end()
	for _, e := range d.entries {
		e.Wait()
	}
	for _, c := range d.closers {
		c()
	}
	d.group.Wait()
}

// item wraps a resource.
func item(kind resource.Kind, name string, spec resource.Spec) resource.Item {
	return resource.Item{Kind: kind, Name: name, Spec: spec}
}

// keySum returns the stored form of a bearer key.
func keySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
