// Command stage2 plays the scripts of the second review: it starts the gateways as separate processes
// before stand-ins on loopback addresses and checks what requesters and endpoints see.
//
//	stage2 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts by name.
var cases = map[string]func(s *stage, trouble bool) (int, error){
	"config-feed": configFeed,
	"half-close":  halfClose,
	"many-parts":  manyParts,
	"odd-prompt":  oddPrompt,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, dir string) int {
	s, err := newStage(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage2:", err)
		return cannotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, disruption: %t", name, trouble)
	code, err := cases[name](s, trouble)
	if err != nil {
		s.note("could not run: %v", err)
		return cannotRun
	}
	s.traceRuns()
	s.note("exit %d", code)
	return code
}
