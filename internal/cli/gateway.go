package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/platformhost"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

// flushTime bounds the wait for a slow reader of the last log lines.
const flushTime = 200 * time.Millisecond

// gatewayCommand runs the process of an entry host on the users' platform.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the process of an entry host on the users' platform until SIGTERM or SIGINT",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "read the settings from `FILE`", Required: true,
				Sources: cli.EnvVars("TREFOILCHUTE_SETTINGS"),
			},
		},
		Action: runGateway,
	}
}

// runGateway reads the settings and serves.
func runGateway(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := settings.ReadGateway(path)
	if err != nil {
		return coded(err)
	}
	out := logs.NewAsync(c.Root().Writer)
	defer out.Close(flushTime)
	log, err := logs.New(out, s.LogLevel)
	if err != nil {
		return err
	}
	logs.With(log, logs.Settings).WithField("file", path).Info()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := platformhost.New(*s, log)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	return errors.Wrap(h.Run(ctx, reloads(ctx)), "gateway")
}

// reloads returns a channel that tells of each SIGHUP.
func reloads(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case out <- struct{}{}:
				default:
				}
			}
		}
	}()
	return out
}
