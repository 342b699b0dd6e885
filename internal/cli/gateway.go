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
	logs.With(log, logs.Settings).WithField("file", path).WithField("version", s.Version()).Info()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reread := func() (*settings.Gateway, error) { return settings.ReadGateway(path) }
	h, err := platformhost.New(*s, reread, log)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	return errors.Wrap(h.Run(ctx, reloads(ctx, path)), "gateway")
}

// lookInterval is the time between two looks at whether the settings file has changed.
const lookInterval = 2 * time.Second

// reloads returns a channel that tells of each SIGHUP, and of each change of the settings
// file that came without one.
func reloads(ctx context.Context, path string) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		defer signal.Stop(signals)
		ticker := time.NewTicker(lookInterval)
		defer ticker.Stop()
		seen := modified(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				seen = modified(path)
			case <-ticker.C:
				at := modified(path)
				if at.Equal(seen) {
					continue
				}
				seen = at
			}
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}

// modified returns when a file was last changed; the zero time if it can't be told, as
// while it is replaced.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
