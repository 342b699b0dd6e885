// Command trefoilchute schedules requests to language model endpoints.
package main

import (
	"context"
	"os"

	"github.com/trefoilchute/trefoilchute/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
