package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Flags of apply.
const (
	flagFile     = "file"
	flagRevision = "revision"
	// fileStdin stands for the standard input.
	fileStdin = "-"
)

// applyCommand makes the change that a manifest asks for.
func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make the change that a manifest asks for",
		Description: "Creates, replaces and deletes the resources of an INI manifest in one step, or none of them.\n" +
			"A section that names the revision it was read at fails with code 500 if the resource changed since.\n" +
			"If the answer is lost (code 504), repeat with the change id that the message names.",
		Flags: changeFlags(
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "manifest `FILE`, - for the standard input", Required: true},
			&cli.Uint64Flag{Name: flagRevision, Usage: "fail unless the resources are at revision `N`", DefaultText: "any"},
		),
		Action: runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	if _, err := wantArgs(cmd, 0, 0); err != nil {
		return err
	}
	file := cmd.String(flagFile)
	data, err := readFile(file)
	if err != nil {
		return result.New(result.InvalidConfig, err.Error())
	}
	if _, err = resource.ParseManifest(file, data); err != nil {
		return coded(err)
	}
	var base *uint64
	if cmd.IsSet(flagRevision) {
		revision := cmd.Uint64(flagRevision)
		base = &revision
	}
	client := newClient(cmd)
	applied, err := client.Apply(ctx, file, data, changeID(cmd), base)
	if err != nil {
		return coded(err)
	}
	if err = printApplied(cmd.Root().Writer, &applied); err != nil || !cmd.Bool(flagWait) {
		return err
	}
	return waitInForce(ctx, cmd, client, applied.Revision)
}

// readFile reads a file or the standard input.
func readFile(path string) ([]byte, error) {
	if path == fileStdin {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// changeID returns the id that the flags give, or a new one.
func changeID(cmd *cli.Command) string {
	if id := cmd.String(flagChangeID); id != "" {
		return id
	}
	return uuid.NewString()
}

// printApplied says what became of a change.
func printApplied(out io.Writer, applied *resource.Applied) error {
	format := "accepted as revision %d, change id %s\n"
	if applied.Unchanged {
		format = "nothing to change at revision %d, change id %s\n"
	}
	_, err := fmt.Fprintf(out, format, applied.Revision, applied.ChangeID)
	return errors.Wrap(err, "write")
}
