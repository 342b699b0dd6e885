package cli

import (
	"context"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/standin/load"
)

// loadCommand returns the command that sends a load and reports on the answers.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a bounded load to entry hosts on this machine and check every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Required: true, Usage: "base `URL` of an entry host, by loopback IP address"},
			&cli.StringSliceFlag{Name: "direct", Usage: "base `URL` of an endpoint stand-in to send the same load to; repeatable"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time in which requests are sent"},
			&cli.IntFlag{Name: "requests", Value: 10_000, Usage: "most requests to send"},
			&cli.IntFlag{Name: "max-in-flight", Value: 2000, Usage: "most requests under way; others are not sent, and counted"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "fixes times, lengths and texts"},
			&cli.StringFlag{Name: "model", Value: "assistant", Usage: "the model to ask for"},
			&cli.StringSliceFlag{Name: "key", Usage: "bearer key of a team; repeatable"},
			&cli.StringSliceFlag{Name: "tier", Usage: "tier to ask for; repeatable; none: the team's own"},
			&cli.StringFlag{Name: "prompt-tokens", Value: "16:1600", Usage: "`MIN:MAX` length of prompts"},
			&cli.StringFlag{Name: "output-tokens", Value: "4:64", Usage: "`MIN:MAX` length of answers"},
			&cli.IntFlag{Name: "families", Usage: "number of texts that prompts begin with; 0: prompts share nothing"},
			&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "time to the whole answer"},
		},
		Action: runLoad,
	}
}

// runLoad sends the load that the flags describe. Answers that were cut or
// belong to other requests make it fail.
func runLoad(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.Write(cmd.Root().Writer); err != nil {
		return err
	}
	if n := report.Faulty(); n > 0 {
		return result.New(result.AnswerCut, strconv.Itoa(n)+" answers were cut or not the ones to their own requests")
	}
	return nil
}

// loadOptions reads the flags.
func loadOptions(cmd *cli.Command) (load.Options, error) {
	options := load.Options{
		Target:      cmd.String("target"),
		Direct:      cmd.StringSlice("direct"),
		Rate:        cmd.Float("rate"),
		Duration:    cmd.Duration("duration"),
		Requests:    cmd.Int("requests"),
		MaxInFlight: cmd.Int("max-in-flight"),
		Seed:        cmd.Uint64("seed"),
		Model:       cmd.String("model"),
		Keys:        cmd.StringSlice("key"),
		Tiers:       cmd.StringSlice("tier"),
		Families:    cmd.Int("families"),
		Deadline:    cmd.Duration("deadline"),
	}
	var err error
	if options.Prompt, err = parseRange(cmd.String("prompt-tokens")); err != nil {
		return options, err
	}
	options.Output, err = parseRange(cmd.String("output-tokens"))
	return options, err
}

// parseRange reads "MIN:MAX", or one number for both.
func parseRange(text string) (load.Range, error) {
	low, high, ok := strings.Cut(text, ":")
	if !ok {
		high = low
	}
	minimum, err := strconv.Atoi(low)
	if err != nil {
		return load.Range{}, result.New(result.BadRequest, "not a range of lengths: "+text)
	}
	maximum, err := strconv.Atoi(high)
	if err != nil {
		return load.Range{}, result.New(result.BadRequest, "not a range of lengths: "+text)
	}
	return load.Range{Min: minimum, Max: maximum}, nil
}
