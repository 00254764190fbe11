package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
)

// Guards against a diff that omits a change, or names it by a path that changes with the length of a list.
func TestDiff(t *testing.T) {
	remove := func(a *config.Answers) { a.Services[0].Targets = a.Services[0].Targets[1:] }
	cases := []struct {
		name    string
		edit    func(a *config.Answers)
		changes []string
		slots   int
	}{
		{"nothing", func(*config.Answers) {}, nil, 0},
		{"deadline", func(a *config.Answers) { a.Services[1].Requests[0].LateAfterMs = 3000 }, []string{
			"services.objednavky.classes.lookup.timeoutMs 1984 -> 2984: holds for requests that arrive from then on",
		}, 0},
		{"target removed", remove, []string{
			"services.mapa-skvrn.targets.mapa-skvrn-01.address \"127.0.0.1:21000\" -> : target removed: it gets no new work",
		}, 64},
		{"weight", func(a *config.Answers) { a.Services[0].Targets[3].Weight = 2 }, []string{
			"services.mapa-skvrn.targets.mapa-skvrn-04.weight 1 -> 2: its share of the keys changes",
		}, 56},
		{"address", func(a *config.Answers) { a.Services[2].Targets[0].Address = "127.0.0.1:21900" }, []string{
			"services.vyuctovani.targets.vyuctovani-01.address \"127.0.0.1:21024\" -> \"127.0.0.1:21900\": treated as a new target",
		}, 0},
		{"scope", func(a *config.Answers) { a.Services[0].CutOff = config.CutOffKeep }, []string{
			"services.mapa-skvrn.scope \"all\" -> \"data-centre\": the quorum group is formed anew",
		}, 0},
		{"table", func(a *config.Answers) { *a.Services[0].TableSlots = 2048 }, []string{
			"services.mapa-skvrn.slots 1024 -> 2048: the slot table is built anew",
		}, 2048},
		{"service removed", func(a *config.Answers) { a.Services = a.Services[:2] }, []string{"checksGrants true -> : service removed"}, 0},
		{"data centre", func(a *config.Answers) { a.DataCentres[1].OneWayMs = 4 }, []string{
			"dataCentres.praha-b.oneWayMs 3 -> 4: routing uses the new value at once",
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, after := exampleAnswers(t, "joint-venture"), exampleAnswers(t, "joint-venture")
			c.edit(&after)
			d := config.Diff(generate(t, before).WithVersion(1), generate(t, after).WithVersion(2))
			is.Equal(d.Empty(), len(c.changes) == 0)
			text := ""
			for _, change := range d.Changes {
				text += change.Path + " " + change.Before + " -> " + change.After + ": " + change.Effect + "\n"
			}
			for _, want := range c.changes {
				if !strings.Contains(text, want) {
					t.Errorf("want %s in:\n%s", want, text)
				}
			}
			moved := 0
			for _, m := range d.Moves {
				moved += m.Slots
			}
			is.Equal(moved, c.slots)
		})
	}
}
