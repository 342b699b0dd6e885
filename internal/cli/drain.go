package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// drainPoll is the time between two looks at a draining endpoint.
const drainPoll = 500 * time.Millisecond

// drainCommand takes an endpoint out of service.
func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "take an endpoint out of service without harming callers",
		Commands: []*cli.Command{{
			Name:      "endpoint",
			Usage:     "give an endpoint no new work",
			ArgsUsage: "NAME",
			Description: "Sets the endpoint's state to drain. With --wait it returns when the change is in force on all\n" +
				"live hosts and nothing is in flight on the endpoint any more.",
			Flags:  changeFlags(),
			Action: runDrain,
		}},
	}
}

func runDrain(ctx context.Context, cmd *cli.Command) error {
	args, err := wantArgs(cmd, 1, 1)
	if err != nil {
		return err
	}
	client := newClient(cmd)
	applied, err := client.Drain(ctx, args[0], changeID(cmd))
	if err != nil {
		return coded(err)
	}
	if err = printApplied(cmd.Root().Writer, &applied); err != nil || !cmd.Bool(flagWait) {
		return err
	}
	start := time.Now()
	if err = waitInForce(ctx, cmd, client, applied.Revision); err != nil {
		return err
	}
	return waitEmpty(ctx, cmd, client, ident.Endpoint(args[0]), start.Add(cmd.Duration(flagTimeout)))
}

// waitEmpty waits until nothing is in flight on an endpoint.
func waitEmpty(ctx context.Context, cmd *cli.Command, client *admin.Client, endpoint ident.Endpoint, deadline time.Time) error {
	for {
		pools, err := client.Pools(ctx)
		if err != nil {
			return coded(err)
		}
		busy, reason := inFlight(pools, endpoint)
		if !busy {
			_, err = fmt.Fprintf(cmd.Root().Writer, "nothing is in flight on %s\n", endpoint)
			return errors.Wrap(err, "write")
		}
		if !time.Now().Before(deadline) {
			return result.New(result.Lagging, "endpoint "+string(endpoint)+" gets no new work, but "+reason)
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return coded(ctx.Err())
		}
	}
}

// inFlight says whether an endpoint has work, and which.
func inFlight(pools []admin.PoolStatus, endpoint ident.Endpoint) (bool, string) {
	var unknown []string
	for i := range pools {
		if !pools[i].Known {
			unknown = append(unknown, pools[i].Target+"@"+string(pools[i].Domain)+" at host "+string(pools[i].Scheduler))
			continue
		}
		for _, status := range pools[i].Endpoints {
			if status.Endpoint == endpoint {
				return status.InFlight > 0, fmt.Sprintf("%d requests are in flight", status.InFlight)
			}
		}
	}
	if len(unknown) > 0 {
		return true, "this host doesn't know what is in flight; ask for pool " + strings.Join(unknown, " or ")
	}
	return false, ""
}
