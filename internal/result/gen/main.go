// Command gen writes the page of result codes to the file that its argument
// names.
package main

import (
	"fmt"
	"os"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

func main() {
	if err := os.WriteFile(os.Args[1], []byte(result.Markdown()), 0o644); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
