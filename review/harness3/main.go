// Command harness3 holds the scripts of the third review: a small deployment of the project's own
// gateway processes before stand-ins on loopback addresses. See the claim of each case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases maps the names of cases to what they do. A case returns whether its rule was broken.
var cases = map[string]func(*world) (bool, error){
	"quota-cut":   quotaCut,
	"stall":       stallOfCrash,
	"revoked-key": revokedKey,
	"quota-drill": quotaDrill,
	"memory":      memoryOfPrompts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and writes its record.
func play(run func(*world) (bool, error), path string) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	isBroken, err := run(w)
	switch {
	case err != nil:
		w.record.notef("the case could not run: %v", err)
	case isBroken:
		w.record.notef("the rule was broken")
	default:
		w.record.notef("the rule held")
	}
	if writeErr := w.record.write(path); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return failed
	}
	switch {
	case err != nil:
		return failed
	case isBroken:
		return broken
	}
	return held
}
