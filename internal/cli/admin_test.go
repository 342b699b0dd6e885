package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// fakeHost is a host with a few resources and a pool.
type fakeHost struct{}

func (fakeHost) Snapshot() *resource.Snapshot {
	return resource.NewSnapshot().With(4, []resource.Item{
		{Kind: resource.KindTier, Name: "high", Spec: resource.Tier{Name: "high", Deadline: 1e9, MaxQueued: 1}},
	})
}

func (fakeHost) Hosts() []admin.HostStatus {
	return []admin.HostStatus{
		{Host: "h1", Domain: "a", State: admin.HostAlive, Revision: 4, Conditions: []admin.Condition{{Name: "PlatformReachable", Reason: "timeout"}}},
		{Host: "h2", Domain: "b", State: admin.HostAlive, Revision: 3},
	}
}

func (fakeHost) Pools() []admin.PoolStatus {
	return []admin.PoolStatus{{Target: "small", Domain: "a", Scheduler: "h1", Epoch: 2, Known: true, Endpoints: []admin.EndpointStatus{
		{Endpoint: "gpu-1", State: resource.EndpointActive, Window: 4, InFlight: 1, Orders: []admin.OrderStatus{
			{Name: "warm", Action: resource.OrderLoadAdapter, Value: "bills", State: "done", By: "h2", Fence: 7},
		}},
	}}}
}

func (fakeHost) Quarantine() []admin.QuarantineStatus {
	return []admin.QuarantineStatus{{Domain: "a", KeyHash: 1, Fingerprint: 2, Crashes: 2, Quarantined: true}}
}

func (fakeHost) Explain(_ context.Context, _ ident.Request) []admin.Record {
	return []admin.Record{{Host: "h1", Event: "refused", Code: 200, Reason: "no room"}}
}

// run runs one command and returns what it printed and its error.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{
		Name: "trefoilchute", Writer: &out, ErrWriter: &out,
		Commands: []*cli.Command{
			applyCommand(), getCommand(), watchCommand(), drainCommand(), explainCommand(), settingsCommand(), versionCommand(), reportCommand(),
		},
	}
	err := root.Run(t.Context(), append([]string{"trefoilchute"}, args...))
	return out.String(), err
}

// serveHost starts the operators' interface of a fakeHost and returns its URL.
func serveHost(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.New(fakeHost{}, admin.Options{})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-done
	})
	return "http://" + listener.Addr().String()
}

func TestGet(t *testing.T) {
	host := serveHost(t)
	cases := map[string]struct {
		args []string
		want []string
	}{
		"resources":   {[]string{"get", "tier"}, []string{"NAME", "RANK", "high", "1s"}},
		"manifest":    {[]string{"get", "tier", "high", "-o", "ini"}, []string{"[tier high]\nrevision = 4\nrank = 0\n"}},
		"json":        {[]string{"get", "tier", "-o", "json"}, []string{`"deadline": "1s"`}},
		"hosts":       {[]string{"get", "host"}, []string{"h2", "not PlatformReachable (timeout)"}},
		"one host":    {[]string{"get", "host", "h2"}, []string{"alive"}},
		"pools":       {[]string{"get", "pool"}, []string{"pool small@a scheduler=h1 epoch=2", "1/4", "warm load_adapter=bills done by h2 fence=7"}},
		"quarantine":  {[]string{"get", "quarantine"}, []string{"0000000000000002", "quarantined"}},
		"explanation": {[]string{"explain", "some-id"}, []string{"refused", "shed_tier (200)", "no room"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out, err := run(t, append(c.args, "--host", host)...)
			g.Expect(err).NotTo(HaveOccurred())
			for _, want := range c.want {
				g.Expect(out).To(ContainSubstring(want))
			}
		})
	}
}

func TestCommandErrors(t *testing.T) {
	host := serveHost(t)
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[tier a]\nspeed = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		args []string
		want string
	}{
		"bad manifest":  {[]string{"apply", "-f", bad}, "invalid_config (501): " + bad + ":2: [tier a] speed: expected one of the keys"},
		"no manifest":   {[]string{"apply", "-f", bad + "x"}, "invalid_config (501)"},
		"unknown kind":  {[]string{"get", "none", "--host", host}, "not_found (502): no kind none"},
		"unknown host":  {[]string{"get", "host", "h9", "--host", host}, "not_found (502)"},
		"bad format":    {[]string{"get", "host", "-o", "xml", "--host", host}, "bad_request (400)"},
		"no INI form":   {[]string{"get", "host", "-o", "ini", "--host", host}, "bad_request (400)"},
		"no kind":       {[]string{"get", "--host", host}, "bad_request (400): usage: trefoilchute get KIND [NAME]"},
		"not reachable": {[]string{"get", "host", "--host", "http://127.0.0.1:1"}, "not_ready (207): http://127.0.0.1:1"},
		"no report":     {[]string{"report", "burn", "--host", host}, "not_found (502): this host makes no reports"},
		"bad settings":  {[]string{"settings", "check", bad}, "invalid_config (501): " + bad + ":1: [tier a] expected one of the sections"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := run(t, c.args...)
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}
