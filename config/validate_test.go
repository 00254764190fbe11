package config_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// object is a decoded JSON object.
type object = map[string]any

// badAnswers holds one case for each kind of invalid answer: the path and a part of the message of the expected fault,
// and the edit that makes the valid answers of the example joint-venture invalid.
var badAnswers = []struct {
	name, path, message string
	edit                func(a object)
}{
	{"no team", "team", "required", func(a object) { delete(a, "team") }},
	{"no data centre", "dataCentres", "at least one", func(a object) { a["dataCentres"] = []any{} }},
	{"bad data centre name", "dataCentres[0].name", "lower-case", func(a object) { objectAt(a, "dataCentres", 0)["name"] = "Praha A" }},
	{"duplicate data centre", "dataCentres[1].name", "given twice", func(a object) { objectAt(a, "dataCentres", 1)["name"] = "praha-a" }},
	{"no region", "dataCentres[2].region", "lower-case", func(a object) { delete(objectAt(a, "dataCentres", 2), "region") }},
	{"link in wrong unit", "dataCentres[0].oneWayMs", "from 0 to 1000 ms", func(a object) { objectAt(a, "dataCentres", 0)["oneWayMs"] = 3000 }},
	{"callers in wrong unit", "dataCentres[0].callerMs", "from 0 to 1000", func(a object) { objectAt(a, "dataCentres", 0)["callerMs"] = -8 }},
	{"regions without a delay", "betweenRegionsMs", "there are 2 regions", func(a object) { objectAt(a, "dataCentres", 2)["region"] = "cz-jih" }},
	{"region delay in wrong unit", "betweenRegionsMs", "from 0 to 1000 ms", func(a object) { a["betweenRegionsMs"] = 100000 }},
	{"deadline under the delay between regions", "services[0].requests[0].lateAfterMs", "raise it to 2022 or more", func(a object) {
		objectAt(a, "dataCentres", 2)["region"], a["betweenRegionsMs"], a["recoverWithinMs"] = "cz-jih", 1000, 9000
		objectAt(a, "services", 0)["cutOff"] = "keep"
	}},
	{"negative VMs", "dataCentres[0].vms", "from 1 to 1000", func(a object) { objectAt(a, "dataCentres", 0)["vms"] = -1 }},
	{"recovery too short", "recoverWithinMs", "raise it to 1912", func(a object) { a["recoverWithinMs"] = 1500 }},
	{"recovery too long", "recoverWithinMs", "from 1 to 60000", func(a object) { a["recoverWithinMs"] = 600000 }},
	{"no service", "services", "at least one", func(a object) { a["services"] = []any{} }},
	{"bad service name", "services[1].name", "lower-case", func(a object) { objectAt(a, "services", 1)["name"] = "a/b" }},
	{"duplicate service", "services[1].name", "given twice", func(a object) { objectAt(a, "services", 1)["name"] = "mapa-skvrn" }},
	{"no target", "services[1].targets", "at least one", func(a object) { objectAt(a, "services", 1)["targets"] = []any{} }},
	{"bad target name", "services[1].targets[0].name", "lower-case", func(a object) { objectAt(a, "services", 1, "targets", 0)["name"] = "" }},
	{"duplicate target", "services[1].targets[1].name", "given twice", func(a object) {
		objectAt(a, "services", 1, "targets", 1)["name"] = "objednavky-01"
	}},
	{"target in no data centre", "services[1].targets[0].dataCentre", "none of the data centres", func(a object) {
		objectAt(a, "services", 1, "targets", 0)["dataCentre"] = "brno"
	}},
	{"host name for address", "services[1].targets[0].address", "IP number", func(a object) {
		objectAt(a, "services", 1, "targets", 0)["address"] = "objednavky:80"
	}},
	{"address used twice", "services[1].targets[0].address", "also the address at services[0].targets[0]", func(a object) {
		objectAt(a, "services", 1, "targets", 0)["address"] = "127.0.0.1:21000"
	}},
	{"more requests than connections", "services[1].target.connections", "raise connections to 5", func(a object) {
		objectAt(a, "services", 1, "target")["connections"] = 4
	}},
	{"one target with too few connections", "services[1].targets[2].connections", "raise connections to 5", func(a object) {
		objectAt(a, "services", 1, "targets", 2)["connections"] = 3
	}},
	{"no slots", "services[1].target.slots", "from 1 to 10000, not 0", func(a object) { delete(objectAt(a, "services", 1, "target"), "slots") }},
	{"negative weight", "services[1].targets[0].weight", "above 0", func(a object) { objectAt(a, "services", 1, "targets", 0)["weight"] = -1 }},
	{"more targets than slots", "services[0].tableSlots", "cannot be shared by 16 targets", func(a object) {
		objectAt(a, "services", 0)["tableSlots"] = 8
	}},
	{"table too large", "services[0].tableSlots", "at most 65536", func(a object) { objectAt(a, "services", 0)["tableSlots"] = 100000 }},
	{"table without keys", "services[1].tableSlots", "only a keyed service", func(a object) { objectAt(a, "services", 1)["tableSlots"] = 1024 }},
	{"unknown cut-off answer", "services[0].cutOff", "must be keep or move", func(a object) { objectAt(a, "services", 0)["cutOff"] = "stop" }},
	{"move without keys", "services[1].cutOff", "no meaning", func(a object) { objectAt(a, "services", 1)["cutOff"] = "move" }},
	{"move within one data centre", "services[0].cutOff", "second data centre", func(a object) {
		for i := range 16 {
			objectAt(a, "services", 0, "targets", i)["dataCentre"] = "kladno"
		}
		objectAt(a, "services", 0)["dataCentreOutAtPeak"] = false
	}},
	{"move over slow links", "services[0].cutOff", "choose keep", func(a object) { objectAt(a, "dataCentres", 0)["oneWayMs"] = 150 }},
	{"move with two VMs", "services[0].cutOff", "move needs 3 VMs in all", func(a object) {
		a["dataCentres"] = a["dataCentres"].([]any)[:2]
		for i := range 2 {
			objectAt(a, "dataCentres", i)["vms"] = 1
		}
		for s, n := range []int{16, 8, 6} {
			for i := range n {
				objectAt(a, "services", s, "targets", i)["dataCentre"] = []string{"praha-a", "praha-b"}[i%2]
			}
		}
	}},
	{"keep with two VMs", "services[0].cutOff", "keep needs 3 VMs in kladno", func(a object) {
		objectAt(a, "services", 0)["cutOff"] = "keep"
		objectAt(a, "dataCentres", 2)["vms"] = 2
	}},
	{"negative staleness", "services[0].staleMs", "from 0", func(a object) { objectAt(a, "services", 0)["staleMs"] = -1 }},
	{"stale answers and own writes", "services[1].staleMs", "set staleMs to 0", func(a object) { objectAt(a, "services", 1)["staleMs"] = 50 }},
	{"too much extra load", "services[1].extraLoadPercent", "from 0 to 50 percent", func(a object) {
		objectAt(a, "services", 1)["extraLoadPercent"] = 80
	}},
	{"all targets spare", "services[1].spareTargets", "at least one must stay", func(a object) { objectAt(a, "services", 1)["spareTargets"] = 8 }},
	{"cold start in wrong unit", "services[1].coldStartMs", "from 0 to 3600000", func(a object) {
		objectAt(a, "services", 1)["coldStartMs"] = 10000000
	}},
	{"body too large", "services[1].maxBodyBytes", "from 1 to", func(a object) { objectAt(a, "services", 1)["maxBodyBytes"] = 1 << 30 }},
	{"no class", "services[1].requests", "at least one class", func(a object) { objectAt(a, "services", 1)["requests"] = []any{} }},
	{"unknown class", "services[1].requests[0].class", "must be lookup", func(a object) {
		objectAt(a, "services", 1, "requests", 0)["class"] = "query"
	}},
	{"class twice", "services[1].requests[1].class", "described at services[1].requests[0] already", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["class"] = "lookup"
	}},
	{"orders and confirmations", "services[1].requests[1].class", "not both", func(a object) {
		r := objectAt(a, "services", 1, "requests", 0)
		r["class"], r["mayRunTwice"] = "confirmation", false
	}},
	{"no deadline", "services[1].requests[0].lateAfterMs", "from 1", func(a object) {
		delete(objectAt(a, "services", 1, "requests", 0), "lateAfterMs")
	}},
	{"deadline under the link delay", "services[1].requests[0].lateAfterMs", "raise it to 28 or more", func(a object) {
		objectAt(a, "services", 1, "requests", 0)["lateAfterMs"] = 20
	}},
	{"waits past the deadline", "services[1].requests[1].waitMs", "leave 29967 ms", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["waitMs"] = 30000
	}},
	{"negative service time", "services[1].requests[1].typicalMs", "from 1", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["typicalMs"] = -1
	}},
	{"negative peak", "services[1].requests[1].peakPerSecond", "from 0", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["peakPerSecond"] = -1
	}},
	{"lookup that may not run twice", "services[1].requests[0].mayRunTwice", "use the class order", func(a object) {
		objectAt(a, "services", 1, "requests", 0)["mayRunTwice"] = false
	}},
	{"order that may run twice", "services[1].requests[1].mayRunTwice", "use the class lookup", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["mayRunTwice"] = true
	}},
	{"lookups remembered", "services[1].requests[0].resendWithinMs", "not remembered", func(a object) {
		objectAt(a, "services", 1, "requests", 0)["resendWithinMs"] = 1000
	}},
	{"remembered for days", "services[1].requests[1].resendWithinMs", "from 1 to 86400000", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["resendWithinMs"] = 1 << 40
	}},
	{"forgotten too early", "services[1].requests[1].resendWithinMs", "at least lateAfterMs", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["resendWithinMs"] = 20000
	}},
	{"peak above the capacity", "services[1].spareTargets", "the peak load fills 42 slots, but only 24 of 32", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["peakPerSecond"] = 4000
		objectAt(a, "services", 1)["dataCentreOutAtPeak"] = false
	}},
	{"peak without a data centre", "services[1].dataCentreOutAtPeak", "only 20 of 32 are left while praha-a is out", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["peakPerSecond"] = 2000
	}},
	{"explicit zero is kept", "dataCentres[0].vms", "from 1 to 1000 VMs, not 0", func(a object) { objectAt(a, "dataCentres", 0)["vms"] = 0 }},
	{"forgotten at once", "services[1].requests[1].resendWithinMs", "at least lateAfterMs", func(a object) {
		objectAt(a, "services", 1, "requests", 1)["resendWithinMs"] = 0
	}},
	{"unknown field", "services[1].staleness", "unknown field", func(a object) { objectAt(a, "services", 1)["staleness"] = 1 }},
	{"wrong type", "services[1].keyed", "must be true or false", func(a object) { objectAt(a, "services", 1)["keyed"] = "yes" }},
}

// Guards against invalid answers that are accepted, or reported without their path or without how to correct them.
func TestBadAnswers(t *testing.T) {
	document := exampleBytes(t, "joint-venture")
	for _, c := range badAnswers {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.ParseAnswers(edit(t, document, c.edit))
			is.Equal(types.CodeOf(err), types.CodeBadConfiguration)
			var problems settings.Problems
			is.True(errors.As(err, &problems))
			for _, f := range problems {
				if f.Path == c.path && strings.Contains(f.Message, c.message) {
					return
				}
			}
			t.Fatalf("no fault %q at %s in:\n%v", c.message, c.path, err)
		})
	}
}

// Guards against a single mistake that is reported as several faults, which hides the answer to correct.
func TestOneMistakeIsOneFault(t *testing.T) {
	document := exampleBytes(t, "joint-venture")
	// These edits invalidate other answers too, so more than one fault is correct.
	several := map[string]bool{
		"no data centre": true, "bad data centre name": true, "duplicate data centre": true, "negative VMs": true, "deadline under the delay between regions": true,
		"no target": true, "move over slow links": true,
	}
	for _, c := range badAnswers {
		if several[c.name] {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			_, err := config.ParseAnswers(edit(t, document, c.edit))
			if n := len(settings.AsProblems(types.CodeInternal, err)); n != 1 {
				t.Fatalf("%d faults:\n%v", n, err)
			}
		})
	}
}

// Guards against validation that stops at the first fault, so that users have to correct answers one at a time.
func TestAllFaultsReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := config.ParseAnswers(edit(t, exampleBytes(t, "joint-venture"), func(a object) {
		for _, c := range badAnswers {
			switch c.name {
			case "no team", "duplicate service", "address used twice", "waits past the deadline", "wrong type":
				c.edit(a)
			}
		}
	}))
	is.Equal(len(settings.AsProblems(types.CodeInternal, err)), 5)
}
