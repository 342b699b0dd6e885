package cli

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/fleet"
)

// defaultLoads are the loads of the standard measurement, relative to the
// capacity.
var defaultLoads = []float64{0.7, 1.0, 1.5, 2.5}

// measureCommand measures policies in simulated time.
func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure the scheduler in simulated time",
		Commands: []*cli.Command{measurePolicyCommand(), measureTraceCommand(), measureHostsCommand()},
	}
}

func measurePolicyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "goodput by tier and wasted prefill of policies under load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "utility", Usage: "utility, factory or large"},
			&cli.StringSliceFlag{Name: "policy", Value: fleet.Policies(), Usage: "policies to run"},
			&cli.FloatSliceFlag{Name: "load", Value: defaultLoads, Usage: "loads relative to the capacity"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1"},
			&cli.BoolFlag{Name: "faults", Value: true, Usage: "slow one endpoint to a quarter and crash one"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "simulated time of arrivals"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return measurePolicies(c)
		},
	}
}

func measureTraceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "record a run with faults and a poison request as a compressed trace",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "utility", Usage: "utility, factory or large"},
			&cli.FloatFlag{Name: "load", Value: 1.5, Usage: "load relative to the capacity"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "simulated time of arrivals"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return measureTrace(c)
		},
	}
}

func measureTrace(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("measure trace takes one file to write")
	}
	d, err := deployment(c)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Args().First())
	if err != nil {
		return errors.Wrap(err, "create the trace")
	}
	z := gzip.NewWriter(f)
	if _, err := fleet.Record(z, d, c.Uint64("seed"), c.Float("load"), c.Duration("length")); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return errors.Wrap(err, "write the trace")
	}
	return errors.Wrap(f.Close(), "write the trace")
}

func deployment(c *cli.Command) (fleet.Deployment, error) {
	d, ok := fleet.Deployments()[c.String("deployment")]
	if !ok {
		return d, errors.Errorf("no deployment %q: expected utility, factory or large", c.String("deployment"))
	}
	return d, nil
}

func measurePolicies(c *cli.Command) error {
	d, err := deployment(c)
	if err != nil {
		return err
	}
	if c.Int("seeds") < 1 {
		return errors.New("--seeds must be at least 1")
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "policy\tload\tgoodput\ttiers from the highest\twasted prefill\tlate\tagain\thighest tier refused, late, lost\t(median/worst)")
	for _, policy := range c.StringSlice("policy") {
		for _, load := range c.FloatSlice("load") {
			results, err := fleet.Measure(d, policy, fleet.Setting{
				Load: load, Seeds: c.Int("seeds"), Length: c.Duration("length"), Faults: c.Bool("faults"),
			})
			if err != nil {
				return err
			}
			printResults(w, policy, load, results)
		}
	}
	return errors.Wrap(w.Flush(), "write the figures")
}

func printResults(w io.Writer, policy string, load float64, results []fleet.Result) {
	goodput := figure(results, fleet.Result.Goodput)
	wasted := figure(results, fleet.Result.WastedPrefill)
	late := figure(results, func(r fleet.Result) float64 { return float64(r.WastedLate) / float64(max(1, r.Prefilled)) })
	again := figure(results, func(r fleet.Result) float64 { return float64(r.WastedAgain) / float64(max(1, r.Prefilled)) })
	tiers := ""
	for i := range results[0].Tiers {
		tier := figure(results, func(r fleet.Result) float64 { return r.Tiers[i].Goodput() })
		tiers += spread(fleet.HigherIsBetter(tier)) + " "
	}
	_, _ = fmt.Fprintf(w, "%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t\n", policy, load,
		spread(fleet.HigherIsBetter(goodput)), tiers, spread(fleet.LowerIsBetter(wasted)),
		spread(fleet.LowerIsBetter(late)), spread(fleet.LowerIsBetter(again)), highestTier(results))
}

// highestTier sums up what became of the highest tier's requests over the runs.
func highestTier(results []fleet.Result) string {
	var sum fleet.TierResult
	for _, r := range results {
		sum.Offered += r.Tiers[0].Offered
		sum.Refused += r.Tiers[0].Refused
		sum.Late += r.Tiers[0].Late
		sum.Lost += r.Tiers[0].Lost
	}
	return fmt.Sprintf("%d, %d, %d of %d", sum.Refused, sum.Late, sum.Lost, sum.Offered)
}

func figure(results []fleet.Result, of func(fleet.Result) float64) []float64 {
	out := make([]float64, 0, len(results))
	for _, r := range results {
		out = append(out, of(r))
	}
	return slices.Clip(out)
}

func spread(s fleet.Spread) string {
	return fmt.Sprintf("%.3f/%.3f", s.Median, s.Worst)
}
