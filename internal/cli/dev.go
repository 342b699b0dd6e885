package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/dev"
	"github.com/trefoilchute/trefoilchute/internal/logs"
)

// devCommand runs a small deployment for a first look.
func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run stand-ins, entry hosts and sample resources in one process on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "addr", Value: "127.0.0.1:7070", Usage: "the first entry host's `IP:PORT` for callers",
			},
			&cli.StringFlag{
				Name: "admin-addr", Value: "127.0.0.1:7071", Usage: "the first entry host's `IP:PORT` for operators",
			},
			&cli.StringFlag{Name: "log-level", Value: "warning", Usage: "logrus `LEVEL`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := logs.New(c.Root().ErrWriter, c.String("log-level"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return dev.Run(ctx, dev.Options{
				Address: c.String("addr"), AdminAddress: c.String("admin-addr"),
				Log: log, Stdout: c.Root().Writer,
			})
		},
	}
}
