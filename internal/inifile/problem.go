package inifile

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a file: where, and what was expected.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 where the problem has no line.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Want says what was expected.
	Want string `json:"want"`
	// Got is what stood there instead; empty where that is plain.
	Got string `json:"got,omitempty"`
}

// maxGot bounds how much of a wrong value a message repeats, in bytes.
const maxGot = 80

// String returns "file:line: [section] key: expected want, got got".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		_, _ = fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		_, _ = fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		_, _ = fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString("expected " + p.Want)
	if p.Got != "" {
		_, _ = fmt.Fprintf(&b, ", got %.*q", maxGot, p.Got)
	}
	return b.String()
}

// Problems is the error of a file with at least one problem.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
