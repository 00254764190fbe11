package config_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Guards against a row whose version does not rise, or that drops write identifiers too early. After a lost answer, they
// show whether the write took place.
func TestOpsRowKeepsVersionsAndWrites(t *testing.T) {
	is := is.New(t)
	var row config.OpsRow
	for i := range 12 {
		before := row
		row = row.Next(config.OpsChange{State: config.OpsOut, Operator: "jana", WriteID: "w" + strconv.Itoa(i)})
		is.True(row.Supersedes(before))
		is.True(!before.Supersedes(row))
	}
	is.Equal(row.Version, types.Version(12))
	is.Equal(len(row.History), config.MaxOpsHistory)
	parsed, err := config.ParseOpsRow(row.Encode())
	is.NoErr(err)
	is.Equal(parsed, row)
	change, found := parsed.Find("w9")
	is.True(found)
	is.Equal(change.Version, types.Version(10))
	_, found = parsed.Find("w1")
	is.True(!found)
}

// Guards against accepting a damaged row, which could take an object out of service or return it to service.
func TestParseOpsRowRefuses(t *testing.T) {
	for _, c := range []struct{ document, message string }{
		{`{}`, "version: must be at least 1"},
		{`{"version":1,"state":"off","writeId":"a"}`, "state: must be in, out or draining"},
		{`{"version":1,"state":"out"}`, "writeId: is required"},
		{`{"version":1,"state":"out","writeId":"a","until":3}`, "until: unknown field"},
		{`{"version":1,"state":"out","writeId":"a","history":[{"version":1,"state":"in","writeId":"b"}]}`, "history[0].version: must be below 1"},
		{`{"version":99,"state":"out","writeId":"a","history":[` + strings.Repeat(`{},`, 8) + `{}]}`, "history: holds 9 changes"},
		{`out`, "not valid JSON"},
	} {
		_, err := config.ParseOpsRow([]byte(c.document))
		if err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: want %q, got %v", c.document, c.message, err)
		}
	}
}

// Guards against keys that do not split into the kind and name they were made from, and against names with path
// separators that would reach other keys of the store.
func TestOpsKeys(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		key  string
		kind config.OpsKind
		name string
	}{
		{config.DataCentreKey("kladno"), config.OpsDataCentre, "kladno"},
		{config.VMKey("vm-1"), config.OpsVM, "vm-1"},
		{config.TargetKey(types.TargetID{Service: "bodega", Target: "bodega-01"}), config.OpsTarget, "bodega/bodega-01"},
	} {
		kind, name, err := config.SplitOpsKey(c.key)
		is.NoErr(err)
		is.Equal(kind, c.kind)
		is.Equal(name, c.name)
	}
	for _, key := range []string{"", "ops/", "ops/dc", "ops/dc/", "ops/dc/a/b", "ops/rack/a", "ops/target/a", "ops/target/a/b/c", "ops/dc/../x", "config/dc/a"} {
		_, _, err := config.SplitOpsKey(key)
		is.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	}
	is.True(config.HistoryKey(9) < config.HistoryKey(10)) // listings are ordered by version
}

// Guards against a change by an operator that leaves a service without targets.
func TestCheckRemainingTargets(t *testing.T) {
	is := is.New(t)
	c := exampleConfiguration(t, "joint-venture", 1)
	rows := config.OpsRows{}
	out := func(key string) {
		rows[key] = rows[key].Next(config.OpsChange{State: config.OpsOut, WriteID: "w"})
	}
	is.NoErr(config.CheckRemainingTargets(c, rows, config.DataCentreKey("praha-a"), config.OpsOut))
	out(config.DataCentreKey("praha-a"))
	is.NoErr(config.CheckRemainingTargets(c, rows, config.DataCentreKey("praha-b"), config.OpsOut))
	out(config.DataCentreKey("praha-b"))
	err := config.CheckRemainingTargets(c, rows, config.DataCentreKey("kladno"), config.OpsOut)
	is.Equal(strings.Count(err.Error(), "\n"), 2) // three services would have no target
	is.NoErr(config.CheckRemainingTargets(c, rows, config.DataCentreKey("praha-a"), config.OpsIn))
	for _, name := range []types.Target{"vyuctovani-03", "vyuctovani-06"} {
		key := config.TargetKey(types.TargetID{Service: "vyuctovani", Target: name})
		err = config.CheckRemainingTargets(c, rows, key, config.OpsDraining)
		out(key)
	}
	is.True(strings.Contains(err.Error(), "services.vyuctovani: none of 6 targets"))
	is.True(!rows.TargetInService("vyuctovani", c.Services[2].Targets[2]))
	is.True(rows.TargetInService("mapa-skvrn", c.Services[0].Targets[2]))
}

// Guards against a row for a data centre or target that does not exist, which would have no effect.
func TestCheckOpsKey(t *testing.T) {
	is := is.New(t)
	c := exampleConfiguration(t, "joint-venture", 1)
	is.NoErr(config.CheckOpsKey(c, "ops/dc/kladno"))
	is.NoErr(config.CheckOpsKey(c, "ops/vm/anything"))
	is.NoErr(config.CheckOpsKey(c, "ops/target/objednavky/objednavky-01"))
	is.Equal(types.CodeOf(config.CheckOpsKey(c, "ops/dc/brno")), types.CodeNotFound)
	is.Equal(types.CodeOf(config.CheckOpsKey(c, "ops/target/objednavky/x")), types.CodeNotFound)
}

// Guards against panics and against accepted rows that change when they are encoded again.
func FuzzParseOpsRow(f *testing.F) {
	f.Add((config.OpsRow{}).Next(config.OpsChange{State: config.OpsOut, Operator: "jana", Note: "power", At: "2026-12-04T11:00:00Z", WriteID: "w"}).Encode())
	f.Add([]byte(`{"version":2,"state":"in","writeId":"b","history":[{"version":1,"state":"draining","writeId":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := config.ParseOpsRow(data)
		if err != nil {
			return
		}
		again, err := config.ParseOpsRow(row.Encode())
		if err != nil || string(again.Encode()) != string(row.Encode()) {
			t.Fatalf("%v", err)
		}
	})
}
