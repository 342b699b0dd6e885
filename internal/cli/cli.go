// Package cli holds the commands of trefoilchute, a file each.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
)

// Main runs the program with its arguments and returns the exit code. Errors
// are printed to stderr as one line with their result code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "trefoilchute",
		Usage:     "schedule requests to language model endpoints",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  commands(),
	}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.New(result.BadRequest, err.Error())
	}
	_, _ = fmt.Fprintf(stderr, "trefoilchute: %v\n", coded)
	return exitFailure
}

// commands lists every command.
func commands() []*cli.Command {
	return []*cli.Command{
		entryCommand(), gatewayCommand(), soakCommand(),
		devCommand(),
		standinCommand(),
		applyCommand(),
		getCommand(),
		watchCommand(),
		drainCommand(),
		explainCommand(),
		reportCommand(),
		settingsCommand(),
		versionCommand(),
		loadCommand(),
		measureCommand(),
		replayCommand(),
	}
}
