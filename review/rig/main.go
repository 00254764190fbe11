// Command rig plays one case of the review: it starts the daemon as separate processes on loopback, stands in for the store, the
// upstreams, the clients and the operator, and checks one rule.
//
//	rig CASE ROOT RECORD
//
// ROOT is the folder of the repository, after the build of the deploy file. With TROUBLE=0 in the environment, the disruption is
// left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case can't run.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// longest is how long a case may last.
const longest = 110 * time.Second

func main() {
	cases := map[string]func(f *fleet, trouble bool) bool{
		"owner": ownerCase, "poison": poisonCase, "cold": coldCase, "encoded": encodedCase, "crowd": crowdCase,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		unable("usage: rig CASE ROOT RECORD")
	}
	f := newFleet(os.Args[2], os.Args[3])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	background(func() {
		<-stop
		unable("stopped")
	})
	time.AfterFunc(longest, func() { unable("the case lasts longer than %s", longest) })
	broken := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if broken {
		f.record.say("the rule was broken")
	} else {
		f.record.say("the rule held")
	}
	f.end()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// zones are the zones of the small deployment, with one VM each.
var zones = []string{"praha-a", "praha-b", "kladno"}

// route is an entry of the configuration.
func route(name, prefix, kind, service string, timeout, objective float64, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_s": timeout, "target_latency_s": objective,
		"priority": priority, "service": service, "max_attempts": attempts,
	}
}

func service(name string, sharded bool) map[string]any {
	s := map[string]any{
		"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 7.3,
	}
	if sharded {
		s["sharded"], s["warm_s"], s["grants"] = true, 5.0, "call"
	}
	return s
}

func configuration(version string, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}
