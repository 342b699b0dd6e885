package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// flagAfter names the revision that a watch starts after.
const flagAfter = "after"

// watchCommand follows the changes of resources.
func watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "follow the changes of a kind of resources or status",
		ArgsUsage: "KIND",
		Description: "Kinds of status (host, pool, quarantine): prints the status, then a line for each change of a state\n" +
			"or condition. Kinds of resources: prints a line for each change as it comes into force at the host,\n" +
			"until interrupted. \"reached N\" says " +
			"that everything up to revision N was told: --after N resumes there, at this host or another. Code 503\n" +
			"says that the changes after N are no longer kept: read the resources afresh and watch from there.",
		Flags: adminFlags(&cli.Uint64Flag{
			Name: flagAfter, Usage: "start with the changes after revision `N`", DefaultText: "the present one",
		}),
		Action: runWatch,
	}
}

func runWatch(ctx context.Context, cmd *cli.Command) error {
	args, err := wantArgs(cmd, 1, 1)
	if err != nil {
		return err
	}
	var after *uint64
	if cmd.IsSet(flagAfter) {
		revision := cmd.Uint64(flagAfter)
		after = &revision
	}
	out := cmd.Root().Writer
	err = newClient(cmd).Watch(ctx, args[0], after, admin.Watcher{
		Change:  func(event admin.WatchEvent) { _, _ = fmt.Fprintln(out, eventLine(&event)) },
		Reached: func(revision uint64) { _, _ = fmt.Fprintf(out, "reached %d\n", revision) },
		Status:  func(event admin.StatusEvent) { _, _ = fmt.Fprint(out, statusLines(&event)) },
	})
	if admin.Unreachable(err) {
		return result.New(result.NotReady, err.Error()+"; watch again, from the last revision reached if there was one")
	}
	return coded(err)
}

// eventLine returns one change as one line of key=value pairs.
func eventLine(event *admin.WatchEvent) string {
	line := fmt.Sprintf("revision=%d kind=%s name=%s", event.Revision, event.Kind, event.Name)
	if event.Deleted || event.Resource == nil {
		return line + " deleted=yes"
	}
	var b strings.Builder
	b.WriteString(line)
	for _, doc := range resource.KeyDocs(event.Kind) {
		_, _ = fmt.Fprintf(&b, " %s=%q", doc.Key, event.Resource.Keys[doc.Key])
	}
	return b.String()
}

// statusLines returns one change of status as lines of key=value pairs: one for
// a host or suspect, one for a pool and one for each of its endpoints.
func statusLines(event *admin.StatusEvent) string {
	head := fmt.Sprintf("kind=%s name=%s", event.Kind, event.Name)
	switch {
	case event.Gone:
		return head + " gone=yes\n"
	case event.Host != nil:
		return fmt.Sprintf("%s state=%s revision=%d conditions=%q\n",
			head, event.Host.State, event.Host.Revision, conditions(event.Host.Conditions))
	case event.Pool != nil:
		return head + poolLines(event.Pool)
	case event.Quarantine != nil:
		return fmt.Sprintf("%s crashes=%d quarantined=%t\n", head, event.Quarantine.Crashes, event.Quarantine.Quarantined)
	}
	return head + "\n"
}

func poolLines(pool *admin.PoolStatus) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, " scheduler=%s epoch=%d known=%t conditions=%q\n",
		pool.Scheduler, pool.Epoch, pool.Known, conditions(pool.Conditions))
	for i := range pool.Endpoints {
		e := &pool.Endpoints[i]
		_, _ = fmt.Fprintf(&b, "kind=pool name=%s@%s endpoint=%s state=%s conditions=%q orders=%q\n",
			pool.Target, pool.Domain, e.Endpoint, e.State, conditions(e.Conditions), orders(e.Orders))
	}
	return b.String()
}
