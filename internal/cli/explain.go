package cli

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// explainCommand shows what happened to a request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request and why",
		ArgsUsage: "REQUEST-ID",
		Description: "Prints in order of time what the host knows of the request: its arrival, queue, placement, dispatch\n" +
			"and end, or why it was shed or refused. The id stands in the answer's X-Request-Id header.",
		Flags: adminFlags(&cli.StringFlag{
			Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: outputTable,
		}),
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	args, err := wantArgs(cmd, 1, 1)
	if err != nil {
		return err
	}
	records, err := newClient(cmd).Explain(ctx, args[0])
	if err != nil {
		return coded(err)
	}
	switch cmd.String(flagOutput) {
	case outputJSON:
		return printJSON(cmd.Root().Writer, records)
	case outputTable:
	default:
		return result.New(result.BadRequest, "--output must be table or json")
	}
	rows := make([][]string, len(records))
	for i := range records {
		r := &records[i]
		code := "-"
		if r.Code != 0 {
			code = r.Code.String() + " (" + strconv.Itoa(int(r.Code)) + ")"
		}
		rows[i] = []string{r.Time.UTC().Format(time.RFC3339Nano), string(r.Host), r.Event, code, cell(string(r.Endpoint)), r.Reason}
	}
	return printTable(cmd.Root().Writer, []string{"TIME", "HOST", "EVENT", "CODE", "ENDPOINT", "REASON"}, rows)
}
