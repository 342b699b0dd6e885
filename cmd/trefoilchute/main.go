// Command trefoilchute schedules requests to language model endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/trefoilchute/trefoilchute/internal/cli"
)

func main() {
	// A process that has not got round to its settings yet has none to read again;
	// the default is to end it.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(cli.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
