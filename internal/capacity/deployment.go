package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/host"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

const (
	// Model is the model that the deployment serves.
	Model = "assistant"
	// Key is the bearer key of the first team.
	Key = "measure-key"

	drainGrace   = 10 * time.Second
	tierDeadline = time.Minute
	maxQueued    = 10_000
	maxBody      = 1 << 20
	maxTokens    = 2048
)

// deployment is a running deployment.
type deployment struct {
	opts     Options
	platform string
	standins *Standins
	entries  []*host.Host
	group    conc.WaitGroup
}

// start starts the stand-ins that aren't given, declares the resources, and
// starts the hosts.
func (d *deployment) start(ctx, life context.Context) error {
	engines, err := d.startStandins()
	if err != nil {
		return err
	}
	if err := d.declare(ctx, engines); err != nil {
		return err
	}
	if err := d.startHosts(life); err != nil {
		return err
	}
	return host.AwaitReady(ctx, d.entries)
}

// startStandins starts what the options don't give, and returns the engines'
// addresses.
func (d *deployment) startStandins() ([]string, error) {
	if d.opts.Platform != "" {
		d.platform = d.opts.Platform
		return d.opts.Engines, nil
	}
	var err error
	if d.standins, err = StartStandins(d.opts.EngineCount); err != nil {
		return nil, err
	}
	d.platform = d.standins.Platform
	return d.standins.Engines, nil
}

// declare applies the resources in steps that the store takes.
func (d *deployment) declare(ctx context.Context, engines []string) error {
	client := platform.NewClient(d.platform, platform.Options{})
	defer client.Close()
	store := resource.NewStore(client)
	for items := d.resources(engines); len(items) > 0; {
		n := min(len(items), resource.MaxChangeItems)
		if _, err := store.Apply(ctx, resource.Change{ID: uuid.NewString(), Items: items[:n]}); err != nil {
			return errors.Wrap(err, "capacity: declare resources")
		}
		items = items[n:]
	}
	return nil
}

// resources returns one tier, the teams, the engines and a route to them.
func (d *deployment) resources(engines []string) []resource.Item {
	items := []resource.Item{item(resource.KindTier, "standard", resource.Tier{
		Name: "standard", Deadline: tierDeadline, MaxQueued: maxQueued,
	})}
	for i := range d.opts.Teams {
		name := fmt.Sprintf("team-%d", i)
		items = append(items, item(resource.KindTeam, name, resource.Team{
			Name: ident.Team(name), Tier: "standard", Weight: 1, KeySHA256: []string{keySum(teamKey(i))},
		}))
	}
	for i, address := range engines {
		name := fmt.Sprintf("engine-%d", i)
		items = append(items, item(resource.KindEndpoint, name, resource.Endpoint{
			Name: ident.Endpoint(name), Address: address, Domain: d.domain(i), Target: Model,
			Type: resource.EndpointEngine, State: resource.EndpointActive, Slots: engineSlots,
			PrefillRate: enginePrefill, DecodeRate: engineDecode, CacheTokens: engineCache,
			Fencing: resource.FencingEnforced,
		}))
	}
	return append(items, item(resource.KindRoute, "chat", resource.Route{
		Name: "chat", Path: "/v1/chat/completions", Model: Model, Target: Model,
		Type: resource.EndpointEngine, Idempotent: true, MaxBody: maxBody, MaxTokens: maxTokens,
	}))
}

// domain returns the failure domain of the host or engine with a number.
func (d *deployment) domain(i int) ident.Domain {
	return ident.Domain(fmt.Sprintf("zone-%d", i%d.opts.Domains))
}

// startHosts starts the entry hosts.
func (d *deployment) startHosts(life context.Context) error {
	secret := uuid.NewString()
	for i := range d.opts.Hosts {
		s := settings.Entry{
			Host: ident.Host(fmt.Sprintf("entry-%03d", i)), Domain: d.domain(i),
			Listen: anyPort, AdminListen: anyPort, PeerListen: anyPort,
			Platform: d.platform, PeerSecret: secret, DrainGrace: drainGrace,
		}
		if i == 0 && d.opts.Address != "" {
			s.Listen = d.opts.Address
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
	d.group.Wait()
	if d.standins != nil {
		d.standins.Close()
	}
}

// item wraps a resource.
func item(kind resource.Kind, name string, spec resource.Spec) resource.Item {
	return resource.Item{Kind: kind, Name: name, Spec: spec}
}

// teamKey returns the bearer key of a team.
func teamKey(i int) string {
	if i == 0 {
		return Key
	}
	return fmt.Sprintf("%s-%d", Key, i)
}

// keySum returns the stored form of a bearer key.
func keySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
