// Command standin plays the cases of the review: gateways as separate processes, with callers,
// runners and the platform's store as stand-ins. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. A case returns what broke the rule.
var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){
	"queued-stop": queuedStop,
	"spoilt":      spoilt,
	"memory":      memory,
	"cut-event":   cutEvent,
}

func main() {
	os.Exit(run())
}

// run plays the case of the first argument and writes the record to the file of the second.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s trouble=%t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		rec.add("broken: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

// route is a row of the configuration's routes.
func route(name, kind, service string, tries int, timeout, objective time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": "app.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": objective.Milliseconds(), "priority": 0, "service": service, "max_attempts": tries, "public": false,
	}
}

// config is the configuration with these routes of a plain service and of model runners.
func config(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{
				"name": "llm", "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 10, "kv_capacity": 771464, "stride": 7, "models": []any{map[string]any{"name": "m"}}},
			},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds(),
		},
		"tenants": []any{map[string]any{"name": "blue", "api_keys": []string{"key-0"}, "priority": 0}},
	}
}
