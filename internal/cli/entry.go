package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/host"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

// entryCommand runs the process of an entry host.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the process of an entry host until SIGTERM or SIGINT",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: runEntry,
	}
}

// runEntry reads the settings and serves.
func runEntry(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read(c.String("settings"))
	if err != nil {
		return coded(err)
	}
	log, err := logs.New(c.Root().ErrWriter, s.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := host.New(*s, log)
	if err != nil {
		return err
	}
	return errors.Wrap(h.Run(ctx), "entry")
}
