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
		Usage:     "follow the changes of a kind of resources",
		ArgsUsage: "KIND",
		Description: "Prints a line for each change as it comes into force at the host, until interrupted. \"reached N\" says\n" +
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
	tell := func(event admin.WatchEvent) { _, _ = fmt.Fprintln(out, eventLine(&event)) }
	reached := func(revision uint64) { _, _ = fmt.Fprintf(out, "reached %d\n", revision) }
	err = newClient(cmd).Watch(ctx, args[0], after, tell, reached)
	if admin.Unreachable(err) {
		return result.New(result.NotReady, err.Error()+"; resume after the last revision reached")
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
