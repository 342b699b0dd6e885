package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Kinds of status that get shows beside resources.
const (
	kindHost       = "host"
	kindPool       = "pool"
	kindQuarantine = "quarantine"
)

// getCommand shows resources and status.
func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show resources or status",
		ArgsUsage: "KIND [NAME]",
		Description: "Kinds of resources: " + strings.Join(resourceKinds(), ", ") + ".\n" +
			"Kinds of status: host, pool, quarantine; they have no INI form.\n" +
			"The INI form can be edited and applied; it names the revision each resource was read at.",
		Flags: adminFlags(&cli.StringFlag{
			Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT`: table, ini or json", Value: outputTable,
		}),
		Action: runGet,
	}
}

func resourceKinds() []string {
	kinds := make([]string, len(resource.Kinds))
	for i, kind := range resource.Kinds {
		kinds[i] = string(kind)
	}
	return kinds
}

func runGet(ctx context.Context, cmd *cli.Command) error {
	args, err := wantArgs(cmd, 1, 2)
	if err != nil {
		return err
	}
	output := cmd.String(flagOutput)
	if !slices.Contains([]string{outputTable, outputINI, outputJSON}, output) {
		return result.New(result.BadRequest, "--output must be table, ini or json")
	}
	name := ""
	if len(args) > 1 {
		name = args[1]
	}
	show := showResources
	switch args[0] {
	case kindHost:
		show = showHosts
	case kindPool:
		show = showPools
	case kindQuarantine:
		show = showQuarantine
	}
	return coded(show(ctx, &getRequest{
		client: newClient(cmd), out: cmd.Root().Writer, kind: args[0], name: name, output: output,
	}))
}

// getRequest is what one get asks for.
type getRequest struct {
	client *admin.Client
	out    io.Writer
	kind   string
	name   string
	output string
}

// showResources shows resources of a kind.
func showResources(ctx context.Context, r *getRequest) error {
	if r.output == outputINI {
		manifest, err := r.client.Manifest(ctx, r.kind, r.name)
		if err != nil {
			return err
		}
		_, err = r.out.Write(manifest)
		return errors.Wrap(err, "write")
	}
	list, err := r.client.Resources(ctx, r.kind, r.name)
	if err != nil {
		return err
	}
	if r.output == outputJSON {
		return printJSON(r.out, list)
	}
	docs := resource.KeyDocs(resource.Kind(r.kind))
	header := []string{"NAME", "REVISION"}
	for _, doc := range docs {
		header = append(header, strings.ToUpper(doc.Key))
	}
	rows := make([][]string, len(list.Resources))
	for i, item := range list.Resources {
		rows[i] = []string{item.Name, strconv.FormatUint(item.Revision, 10)}
		for _, doc := range docs {
			rows[i] = append(rows[i], cell(item.Keys[doc.Key]))
		}
	}
	return printTable(r.out, header, rows)
}

// maxCell bounds the width of a column in a table, in bytes.
const maxCell = 24

// cell returns the value as a table shows it.
func cell(value string) string {
	if value == "" {
		return "-"
	}
	if len(value) > maxCell {
		return value[:maxCell-3] + "..."
	}
	return value
}

// selected returns the elements whose name is wanted, or all without a name.
func selected[T any](list []T, wanted string, name func(*T) string) ([]T, error) {
	if wanted == "" {
		return list, nil
	}
	list = slices.DeleteFunc(list, func(v T) bool { return name(&v) != wanted })
	if len(list) == 0 {
		return nil, result.New(result.NotFound, "no "+wanted)
	}
	return list, nil
}

// statusOutput refuses the INI form, which status doesn't have.
func (r *getRequest) statusOutput() error {
	if r.output == outputINI {
		return result.New(result.BadRequest, "status has no INI form")
	}
	return nil
}

func showHosts(ctx context.Context, r *getRequest) error {
	if err := r.statusOutput(); err != nil {
		return err
	}
	hosts, err := r.client.Hosts(ctx)
	if err != nil {
		return err
	}
	hosts, err = selected(hosts, r.name, func(h *admin.HostStatus) string { return string(h.Host) })
	if err != nil {
		return err
	}
	if r.output == outputJSON {
		return printJSON(r.out, hosts)
	}
	rows := make([][]string, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		rows[i] = []string{
			string(h.Host), string(h.Domain), h.Address, string(h.State), strconv.FormatUint(h.Revision, 10),
			heartbeat(h.HeartbeatAgeMillis), conditions(h.Conditions),
		}
	}
	return printTable(r.out, []string{"NAME", "DOMAIN", "ADDRESS", "STATE", "REVISION", "HEARTBEAT", "CONDITIONS"}, rows)
}

func millis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// conditions returns the conditions on one line, those that don't hold with
// their reasons.
func conditions(list []admin.Condition) string {
	if len(list) == 0 {
		return "-"
	}
	texts := make([]string, len(list))
	for i, c := range list {
		texts[i] = c.Name
		if !c.Holds {
			texts[i] = "not " + c.Name
		}
		if c.Reason != "" {
			texts[i] += " (" + c.Reason + ")"
		}
	}
	return strings.Join(texts, ", ")
}

func showPools(ctx context.Context, r *getRequest) error {
	if err := r.statusOutput(); err != nil {
		return err
	}
	pools, err := r.client.Pools(ctx)
	if err != nil {
		return err
	}
	pools, err = selected(pools, r.name, func(p *admin.PoolStatus) string { return p.Target + "@" + string(p.Domain) })
	if err != nil {
		return err
	}
	if r.output == outputJSON {
		return printJSON(r.out, pools)
	}
	for i := range pools {
		if err := printPool(r.out, &pools[i]); err != nil {
			return err
		}
	}
	return nil
}

// printPool writes one pool with its queue and endpoints.
func printPool(out io.Writer, p *admin.PoolStatus) error {
	if !p.Known {
		_, err := fmt.Fprintf(out, "pool %s@%s scheduler=%s\n  ask host %s for its epoch, queue and endpoints\n",
			p.Target, p.Domain, p.Scheduler, p.Scheduler)
		return errors.Wrap(err, "write")
	}
	_, err := fmt.Fprintf(out, "pool %s@%s scheduler=%s epoch=%d conditions: %s\n",
		p.Target, p.Domain, p.Scheduler, p.Epoch, conditions(p.Conditions))
	if err != nil {
		return errors.Wrap(err, "write")
	}
	queue := make([][]string, len(p.Queue))
	for i, q := range p.Queue {
		queue[i] = []string{"", string(q.Tier), string(q.Team), strconv.Itoa(q.Waiting), millis(q.WaitMillis)}
	}
	if len(queue) > 0 {
		if err := printTable(out, []string{"", "TIER", "TEAM", "WAITING", "EXPECTED WAIT"}, queue); err != nil {
			return err
		}
	}
	return printEndpoints(out, p.Endpoints)
}

func printEndpoints(out io.Writer, endpoints []admin.EndpointStatus) error {
	var rows [][]string
	for i := range endpoints {
		e := &endpoints[i]
		rows = append(rows, []string{
			"", string(e.Endpoint), string(e.State), fmt.Sprintf("%d/%d", e.InFlight, e.Window),
			fmt.Sprintf("%.0f/%.0f", e.PrefillRate, e.DecodeRate), conditions(e.Conditions), orders(e.Orders),
		})
	}
	return printTable(out, []string{"", "ENDPOINT", "STATE", "IN FLIGHT/WINDOW", "PREFILL/DECODE TOKENS/S", "CONDITIONS", "ORDERS"}, rows)
}

// orders returns what an endpoint is told, on one line.
func orders(list []admin.OrderStatus) string {
	if len(list) == 0 {
		return "-"
	}
	texts := make([]string, len(list))
	for i, o := range list {
		texts[i] = fmt.Sprintf("%s %s=%s %s by %s fence=%d", o.Name, o.Action, o.Value, o.State, o.By, o.Fence)
		if o.Reason != "" {
			texts[i] += " (" + o.Reason + ")"
		}
	}
	return strings.Join(texts, ", ")
}

func showQuarantine(ctx context.Context, r *getRequest) error {
	if err := r.statusOutput(); err != nil {
		return err
	}
	suspects, err := r.client.Quarantine(ctx)
	if err != nil {
		return err
	}
	if r.output == outputJSON {
		return printJSON(r.out, suspects)
	}
	rows := make([][]string, len(suspects))
	for i, s := range suspects {
		state := "suspect"
		if s.Quarantined {
			state = "quarantined"
		}
		rows[i] = []string{
			string(s.Domain), fmt.Sprintf("%016x", s.KeyHash), fmt.Sprintf("%016x", s.Fingerprint), strconv.Itoa(s.Crashes), state,
		}
	}
	return printTable(r.out, []string{"DOMAIN", "KEY", "FINGERPRINT", "CRASHES", "STATE"}, rows)
}

// heartbeat prints the time since a host's last message.
func heartbeat(age int64) string {
	if age == admin.NeverHeard {
		return "-"
	}
	return millis(age)
}
