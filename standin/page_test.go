package standin_test

import (
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"sequoiasail.example/standin/store"
	"sequoiasail.example/standin/target"
)

// page is the text of the operators' page.
type page struct {
	*testing.T
	text string
}

// Guards against flags, settings, faults and figures that the operators' page does not explain.
func TestPageNamesEverything(t *testing.T) {
	data, err := os.ReadFile("../docs/operating/stand-ins.md")
	if err != nil {
		t.Fatal(err)
	}
	f := flag.NewFlagSet("both commands", flag.ContinueOnError)
	store.AddFlags(f)
	target.AddFlags(f)
	p := page{T: t, text: string(data)}
	f.VisitAll(func(f *flag.Flag) { p.has("-" + f.Name) })
	for _, v := range []any{store.Faults{}, target.Settings{}, target.Faults{}, target.Stats{}, target.JournalEntry{}} {
		p.hasFields(reflect.TypeOf(v))
	}
}

func (p page) hasFields(t reflect.Type) {
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		p.has(name)
	}
}

// has looks for the name in the form in which pages print names.
func (p page) has(name string) {
	if !strings.Contains(p.text, "`"+name+"`") {
		p.Errorf("the page does not name `%s`", name)
	}
}
