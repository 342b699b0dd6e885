package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/soak"
)

// soakCommand runs gateway processes under faults from outside.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateway processes on loopback under random faults and check what is promised",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Usage: "run this `NUMBER` of seeds", Value: 1},
			&cli.IntFlag{Name: "parallel", Usage: "run this `NUMBER` at a time", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "inject faults for this `TIME` in each run; with --rollouts, the time limit of orders", Value: 12 * time.Second},
			&cli.BoolFlag{Name: "rollouts", Usage: "roll a new version out in each run instead: good ones and bad ones, under faults"},
			&cli.StringFlag{Name: "dir", Usage: "keep the logs of runs that fail in `DIR`", Value: os.TempDir()},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = soak.RandomSeed()
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "seeds from %d\n", seed); err != nil {
		return err
	}
	err = soak.Run(ctx, soak.Options{
		Program: program, First: seed, Seeds: c.Int("seeds"), Parallel: c.Int("parallel"),
		Length: c.Duration("length"), Rollouts: c.Bool("rollouts"), Dir: c.String("dir"), Out: c.Root().Writer,
	})
	if err != nil {
		return result.New(result.Internal, err.Error())
	}
	return nil
}
