package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/replay"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// replayCommand runs a recorded trace through the decision code.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run a recorded trace through the scheduler and compare its decisions",
		ArgsUsage: "TRACE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "expect", Usage: "file with the stated outcome to hold the replay against"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return replayFile(c)
		},
	}
}

func replayFile(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return result.New(result.BadRequest, "replay takes one trace file")
	}
	f, err := os.Open(c.Args().First())
	if err != nil {
		return result.New(result.NotFound, err.Error())
	}
	defer func() { _ = f.Close() }()
	outcome, err := replay.Run(f, replay.NewPool)
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	if _, err := fmt.Fprint(c.Root().Writer, outcome); err != nil {
		return errors.Wrap(err, "write the outcome")
	}
	return judge(c, outcome)
}

// judge returns an error if the replay differs from the record or from the
// stated outcome.
func judge(c *cli.Command, outcome replay.Outcome) error {
	if outcome.Mismatches > 0 {
		return result.New(result.Conflict, "the decisions differ from those recorded, first in "+outcome.FirstMismatch)
	}
	if c.String("expect") == "" {
		return nil
	}
	stated, err := os.ReadFile(c.String("expect"))
	if err != nil {
		return result.New(result.NotFound, err.Error())
	}
	if string(stated) != outcome.String() {
		return result.New(result.Conflict, "the outcome differs from the stated one:\n"+string(stated))
	}
	return nil
}
