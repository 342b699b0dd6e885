package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// versionCommand says which build this is.
func versionCommand() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  "say which build this is",
		Action: runVersion,
	}
}

func runVersion(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprintln(cmd.Root().Writer, buildVersion())
	return err
}

// buildVersion returns the module's version, the commit and the Go version of
// the build.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "trefoilchute unknown"
	}
	version := "trefoilchute " + info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " commit " + setting.Value
		}
	}
	return version + " " + info.GoVersion
}
