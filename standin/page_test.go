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

// operatorsPage is the text of the operators' page on the stand-ins.
type operatorsPage struct {
	*testing.T
	text string
}

// Guards against flags, settings, faults, statistics and journal fields that the operators' page does not name.
func TestOperatorsPageNamesFlagsAndFields(t *testing.T) {
	data, err := os.ReadFile("../docs/operating/stand-ins.md")
	if err != nil {
		t.Fatal(err)
	}
	f := flag.NewFlagSet("both commands", flag.ContinueOnError)
	store.AddFlags(f)
	target.AddFlags(f)
	p := operatorsPage{T: t, text: string(data)}
	f.VisitAll(func(f *flag.Flag) { p.requireName("-" + f.Name) })
	for _, v := range []any{store.Faults{}, target.Settings{}, target.Faults{}, target.Stats{}, target.JournalEntry{}} {
		p.requireFields(reflect.TypeOf(v))
	}
}

func (p operatorsPage) requireFields(t reflect.Type) {
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		p.requireName(name)
	}
}

// requireName fails the test unless the page has the name in backquotes.
func (p operatorsPage) requireName(name string) {
	if !strings.Contains(p.text, "`"+name+"`") {
		p.Errorf("the page does not name `%s`", name)
	}
}
