package cli

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	platformclient "github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/platform"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
)

// Flags of the stand-ins.
const (
	flagListen       = "listen"
	flagType         = "type"
	flagName         = "name"
	flagModel        = "model"
	flagPrefillRate  = "prefill-rate"
	flagDecodeRate   = "decode-rate"
	flagBatchCost    = "batch-cost"
	flagSlots        = "slots"
	flagCacheTokens  = "cache-tokens"
	flagFencing      = "fencing"
	flagLoadLag      = "load-lag"
	flagCacheLag     = "cache-lag"
	flagCacheLoss    = "cache-loss"
	flagLoadTime     = "load-time"
	flagRestartDelay = "restart-delay"
	flagPlatform     = "platform"
	flagDelay        = "delay"
	flagHostLag      = "host-lag"
	flagHostMaxAge   = "host-max-age"
	flagWeights      = "weight-interval"
	flagReads        = "reads"
	flagWrites       = "writes"
)

// standin is a stand-in that can be run on a listener.
type standin interface {
	// Serve runs the stand-in until Close is called.
	Serve(listener net.Listener) error
	// Close stops it.
	Close() error
}

// standinCommand returns the command that runs the stand-ins.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for the platform or for an endpoint, for tests and trials",
		Commands: []*cli.Command{standinPlatformCommand(), standinEndpointCommand()},
	}
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the platform's table, object store, weight store and host list in memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagListen, Required: true, Usage: "`IP:PORT` to listen on"},
			&cli.DurationFlag{Name: flagHostLag, Value: 2 * time.Second, Usage: "how late the host list is"},
			&cli.DurationFlag{Name: flagHostMaxAge, Value: time.Minute, Usage: "how long a host stays listed without being refreshed"},
			&cli.DurationFlag{Name: flagWeights, Usage: "least time between two leaves of the weight store"},
			&cli.IntFlag{Name: flagReads, Usage: "most reads per second; 0: no limit"},
			&cli.IntFlag{Name: flagWrites, Usage: "most writes per second; 0: no limit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runStandin(ctx, cmd, platform.New(platform.Options{
				HostLag:         cmd.Duration(flagHostLag),
				HostMaxAge:      cmd.Duration(flagHostMaxAge),
				WeightInterval:  cmd.Duration(flagWeights),
				ReadsPerSecond:  cmd.Int(flagReads),
				WritesPerSecond: cmd.Int(flagWrites),
			}))
		},
	}
}

func standinEndpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "run a model engine or a plain service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagListen, Required: true, Usage: "`IP:PORT` to listen on"},
			&cli.StringFlag{Name: flagType, Value: string(resource.EndpointEngine), Usage: "engine or service"},
			&cli.StringFlag{Name: flagName, Required: true, Usage: "the endpoint's name"},
			&cli.StringFlag{Name: flagModel, Usage: "the model that an engine has loaded"},
			&cli.FloatFlag{Name: flagPrefillRate, Value: engine.DefaultPrefillRate, Usage: "prompt tokens per second"},
			&cli.FloatFlag{Name: flagDecodeRate, Value: engine.DefaultDecodeRate, Usage: "tokens per second of a request that runs alone"},
			&cli.FloatFlag{Name: flagBatchCost, Value: engine.DefaultBatchCost, Usage: "added time per token for each further request of a batch, as a share of that of one alone"},
			&cli.IntFlag{Name: flagSlots, Value: engine.DefaultSlots, Usage: "most requests in one batch"},
			&cli.IntFlag{Name: flagCacheTokens, Value: engine.DefaultCacheTokens, Usage: "size of the prefix cache in tokens"},
			&cli.StringFlag{Name: flagFencing, Value: string(resource.FencingEnforced), Usage: "enforced or ignored"},
			&cli.DurationFlag{Name: flagLoadLag, Value: 2 * time.Second, Usage: "age of the load report"},
			&cli.DurationFlag{Name: flagCacheLag, Value: time.Second, Usage: "how late cache events are"},
			&cli.IntFlag{Name: flagCacheLoss, Usage: "cache events lost, per mille"},
			&cli.DurationFlag{Name: flagLoadTime, Value: time.Second, Usage: "how long it takes to load a model"},
			&cli.DurationFlag{Name: flagRestartDelay, Value: engine.DefaultRestartDelay, Usage: "how long a crashed engine stays away"},
			&cli.StringFlag{Name: flagPlatform, Usage: "base `URL` of the platform whose weight store an engine asks before it loads; empty: none"},
			&cli.DurationFlag{Name: flagDelay, Usage: "time that a service takes for a call"},
		},
		Action: runEndpoint,
	}
}

// runEndpoint runs the endpoint that the flags describe.
func runEndpoint(ctx context.Context, cmd *cli.Command) error {
	switch kind := resource.EndpointType(cmd.String(flagType)); kind {
	case resource.EndpointEngine:
		options, err := engineOptions(cmd)
		if err != nil {
			return err
		}
		return runStandin(ctx, cmd, engine.New(options))
	case resource.EndpointService:
		return runStandin(ctx, cmd, service.New(service.Options{
			Name:  cmd.String(flagName),
			Delay: cmd.Duration(flagDelay),
		}))
	default:
		return result.New(result.BadRequest, "unknown endpoint type "+string(kind))
	}
}

// engineOptions reads the flags of an engine.
func engineOptions(cmd *cli.Command) (engine.Options, error) {
	fencing := resource.Fencing(cmd.String(flagFencing))
	if fencing != resource.FencingEnforced && fencing != resource.FencingIgnored {
		return engine.Options{}, result.New(result.BadRequest, "unknown fencing "+string(fencing))
	}
	options := engine.Options{
		Name:  cmd.String(flagName),
		Model: cmd.String(flagModel),
		Speed: engine.Speed{
			PrefillRate: cmd.Float(flagPrefillRate),
			DecodeRate:  cmd.Float(flagDecodeRate),
			BatchCost:   cmd.Float(flagBatchCost),
			Slots:       cmd.Int(flagSlots),
			CacheTokens: cmd.Int(flagCacheTokens),
		},
		LoadLag:           cmd.Duration(flagLoadLag),
		CacheLag:          cmd.Duration(flagCacheLag),
		CacheLossPerMille: cmd.Int(flagCacheLoss),
		Fencing:           fencing,
		LoadTime:          cmd.Duration(flagLoadTime),
		RestartDelay:      cmd.Duration(flagRestartDelay),
	}
	if url := cmd.String(flagPlatform); url != "" {
		options.Weights = platformclient.NewClient(url, platformclient.Options{})
	}
	return options, nil
}

// runStandin runs a stand-in until the process is told to stop.
func runStandin(ctx context.Context, cmd *cli.Command, s standin) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", cmd.String(flagListen))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	logger := logrus.New()
	logger.SetOutput(cmd.Root().Writer)
	logger.WithFields(logrus.Fields{
		"event": "ready",
		"addr":  listener.Addr().String(),
		"kind":  cmd.Name,
	}).Info("listening")

	var serving conc.WaitGroup
	var failure error
	serving.Go(func() {
		failure = s.Serve(listener)
		stop()
	})
	<-ctx.Done()
	closing := s.Close()
	serving.Wait()
	if failure != nil {
		return failure
	}
	return closing
}
