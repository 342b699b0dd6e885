package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	flagHTML   = "html"
	outputText = "text"
	outputHTML = "html"
	// reportMode is the mode of a written report.
	reportMode = 0o644
)

// reportCommand shows reports.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show reports",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show how fast tiers and teams burn their error budgets",
			Description: "The host reads the counts of all hosts from the object store. Where it can't, the report says which\n" +
				"counts are missing and is made from the rest.",
			Flags: adminFlags(
				&cli.StringFlag{Name: flagHTML, Usage: "write a page with plots to `FILE`"},
				&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT`: text or json", Value: outputText},
			),
			Action: runReportBurn,
		}},
	}
}

func runReportBurn(ctx context.Context, cmd *cli.Command) error {
	if _, err := wantArgs(cmd, 0, 0); err != nil {
		return err
	}
	format := cmd.String(flagOutput)
	if format != outputText && format != outputJSON {
		return result.New(result.BadRequest, "--output must be text or json")
	}
	file := cmd.String(flagHTML)
	if file != "" {
		format = outputHTML
	}
	report, err := newClient(cmd).Burn(ctx, format)
	if err != nil {
		return coded(err)
	}
	if file == "" {
		_, err = cmd.Root().Writer.Write(report)
		return errors.Wrap(err, "write")
	}
	if err = os.WriteFile(file, report, reportMode); err != nil {
		return result.New(result.Internal, err.Error())
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "wrote "+file)
	return errors.Wrap(err, "write")
}
