package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

// settingsCommand works on settings files.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work on settings files",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check the settings of an entry host or a gateway",
			Flags:       []cli.Flag{&cli.BoolFlag{Name: "gateway", Usage: "the file is a gateway's"}},
			ArgsUsage:   "FILE",
			Description: "Reads the file as `entry --settings FILE` does and says what is wrong with it. It starts nothing.",
			Action:      runSettingsCheck,
		}},
	}
}

func runSettingsCheck(_ context.Context, cmd *cli.Command) error {
	args, err := wantArgs(cmd, 1, 1)
	if err != nil {
		return err
	}
	if cmd.Bool("gateway") {
		g, err := settings.ReadGateway(args[0])
		if err != nil {
			return result.New(result.InvalidConfig, err.Error())
		}
		_, err = fmt.Fprintf(cmd.Root().Writer, "%s is valid: host %s in failure domain %s\n", args[0], g.Host, g.Domain)
		return err
	}
	entry, err := settings.Read(args[0])
	if err != nil {
		return result.New(result.InvalidConfig, err.Error())
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s is valid: host %s in failure domain %s\n", args[0], entry.Host, entry.Domain)
	return err
}
