package load

import (
	"flag"
	"os"
	"strings"
	"testing"
)

// Guards against flags that the operators' page does not explain.
func TestPageNamesEveryFlag(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operating/sail-load.md")
	if err != nil {
		t.Fatal(err)
	}
	f := flag.NewFlagSet("sail-load", flag.ContinueOnError)
	(&RunCommand{}).SetFlags(f)
	f.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(string(page), "`-"+f.Name+"`") {
			t.Errorf("the page does not name -%s", f.Name)
		}
	})
}
