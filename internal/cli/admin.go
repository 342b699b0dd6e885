package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Flags of the commands that call a host's operators' interface.
const (
	flagHost     = "host"
	flagToken    = "token"
	flagWait     = "wait"
	flagTimeout  = "timeout"
	flagChangeID = "change-id"
	flagOutput   = "output"

	envHost     = "TREFOILCHUTE_HOST"
	envToken    = "TREFOILCHUTE_TOKEN"
	defaultHost = "http://127.0.0.1:7071"
	// defaultWait is how long --wait waits.
	defaultWait = 30 * time.Second
)

// Values of --output.
const (
	outputTable = "table"
	outputINI   = "ini"
	outputJSON  = "json"
)

// adminFlags returns the flags of every command that calls a host, and more.
func adminFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: flagHost, Usage: "base `URL` of a host's operators' interface",
			Value: defaultHost, Sources: cli.EnvVars(envHost),
		},
		&cli.StringFlag{Name: flagToken, Usage: "the operators' `TOKEN`", Sources: cli.EnvVars(envToken), DefaultText: "none"},
	}, more...)
}

// changeFlags returns the flags of the commands that make a change.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return adminFlags(append([]cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the change is in force on all live hosts"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` to wait", Value: defaultWait},
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change, to repeat one whose answer was lost", DefaultText: "a new one"},
	}, more...)...)
}

// newClient returns a client of the host that the flags name.
func newClient(cmd *cli.Command) *admin.Client {
	return admin.NewClient(cmd.String(flagHost), cmd.String(flagToken))
}

// wantArgs returns the arguments, of which there must be between low and high.
func wantArgs(cmd *cli.Command, low, high int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < low || len(args) > high {
		return nil, result.New(result.BadRequest, "usage: trefoilchute "+strings.TrimPrefix(cmd.FullName(), "trefoilchute ")+" "+cmd.ArgsUsage)
	}
	return args, nil
}

// coded gives an error that the user sees a result code.
func coded(err error) error {
	var known *result.Error
	if err == nil || errors.As(err, &known) {
		return err
	}
	var problems inifile.Problems
	if errors.As(err, &problems) {
		return result.New(result.InvalidConfig, problems.Error())
	}
	if admin.Unreachable(err) {
		return result.New(result.NotReady, err.Error())
	}
	return result.New(result.Internal, err.Error())
}

// waitInForce waits until a revision is in force on all live hosts.
func waitInForce(ctx context.Context, cmd *cli.Command, client *admin.Client, revision uint64) error {
	deadline := time.Now().Add(cmd.Duration(flagTimeout))
	for {
		status, err := client.Wait(ctx, revision, max(0, time.Until(deadline)))
		if err != nil {
			return coded(err)
		}
		if status.InForce {
			_, err = fmt.Fprintf(cmd.Root().Writer, "revision %d is in force on all live hosts\n", revision)
			return err
		}
		if !time.Now().Before(deadline) {
			return laggingError(&status)
		}
	}
}

// laggingError names the hosts that don't have a revision.
func laggingError(status *admin.WaitStatus) error {
	names := make([]string, len(status.Lagging))
	for i := range status.Lagging {
		host := &status.Lagging[i]
		names[i] = fmt.Sprintf("%s (%s, at revision %d)", host.Host, host.State, host.Revision)
	}
	return result.New(result.Lagging, fmt.Sprintf("revision %d is accepted, but lags on %s", status.Revision, strings.Join(names, ", ")))
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// printTable writes rows under a header in aligned columns.
func printTable(out io.Writer, header []string, rows [][]string) error {
	const padding = 2
	writer := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return errors.Wrap(writer.Flush(), "write")
}
