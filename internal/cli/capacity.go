package cli

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/capacity"
	"github.com/trefoilchute/trefoilchute/internal/logs"
)

// kibibyte and mebibyte are in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// measureHostsCommand measures what entry hosts cost at rest and under load.
func measureHostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "processor time, memory, messages and platform calls of entry hosts in one process",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 24, 64}, Usage: "numbers of entry hosts, measured in turn"},
			&cli.IntFlag{Name: "domains", Value: 4, Usage: "failure domains"},
			&cli.IntFlag{Name: "teams", Value: 5, Usage: "declared teams"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "engine stand-ins in this process, spread over the domains"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time measured"},
			&cli.DurationFlag{Name: "settle", Value: 10 * time.Second, Usage: "time between ready hosts and the measurement"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second over all hosts, sent by this process, which is counted too"},
			&cli.StringFlag{Name: "addr", Usage: "the first host's `IP:PORT` for callers; empty: any"},
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of a fresh platform stand-in in another process"},
			&cli.StringSliceFlag{Name: "engine", Usage: "`IP:PORT` of an engine stand-in in another process; repeatable; with --platform"},
		},
		Commands: []*cli.Command{measureStandinsCommand()},
		Action:   measureHosts,
	}
}

// measureStandinsCommand runs the stand-ins in a process of their own.
func measureStandinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "run the stand-ins for one measurement in this process, and print the flags that name them",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "number of engines"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := capacity.StartStandins(c.Int("engines"))
			if err != nil {
				return err
			}
			defer s.Close()
			_, _ = fmt.Fprintf(c.Root().Writer, "--platform %s --engine %s\n", s.Platform, strings.Join(s.Engines, ","))
			<-ctx.Done()
			return nil
		},
	}
}

// measureHosts measures each number of hosts.
func measureHosts(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := logs.New(c.Root().ErrWriter, "error")
	if err != nil {
		return err
	}
	counts := c.IntSlice("hosts")
	if c.String("platform") != "" && len(counts) > 1 {
		return errors.New("a platform in another process serves one number of hosts")
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "hosts\tCPU %/host\theap MiB/host\tstacks MiB/host\tRSS MiB/host\tgoroutines/host\t"+
		"sent KiB/s/host\tmessages/s/host\tbatches/s/host\treads/s\twrites/s\tlist hosts/s\tregister/s\t")
	for _, n := range counts {
		f, err := capacity.Run(ctx, capacity.Options{
			Hosts: n, Domains: min(c.Int("domains"), n), Teams: c.Int("teams"),
			Settle: c.Duration("settle"), Duration: c.Duration("duration"), Rate: c.Float("rate"),
			Address: c.String("addr"), Platform: c.String("platform"), Engines: c.StringSlice("engine"),
			EngineCount: c.Int("engines"), Log: log,
		})
		if err != nil {
			return err
		}
		printFigures(w, f)
	}
	return errors.Wrap(w.Flush(), "write the figures")
}

// printFigures writes one line of the table.
func printFigures(w *tabwriter.Writer, f capacity.Figures) {
	_, _ = fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
		f.Hosts, f.CPU, f.Heap/mebibyte, f.Stacks/mebibyte, f.Resident/mebibyte, f.Goroutines,
		f.PeerBytes/kibibyte, f.PeerMessages, f.PeerBatches, f.Reads, f.Writes,
		f.Operations["list_hosts"], f.Operations["register"])
}
