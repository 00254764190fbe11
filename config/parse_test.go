package config_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// exampleConfiguration returns the configuration of an installation in examples/ with version v.
func exampleConfiguration(t testing.TB, user string, v types.Version) config.Configuration {
	t.Helper()
	return generate(t, exampleAnswers(t, user)).WithVersion(v)
}

// Guards against a process that installs a damaged stored configuration.
func TestParseRefusesBadConfigurations(t *testing.T) {
	cases := []struct {
		path, message string
		edit          func(c object)
	}{
		{"version", "at least 1", func(c object) { c["version"] = 0 }},
		{"versions", "unknown field", func(c object) { c["versions"] = 1 }},
		{"dataCentres", "at least one", func(c object) { c["dataCentres"] = []any{} }},
		{"dataCentres[1].name", "given twice", func(c object) { objectAt(c, "dataCentres", 1)["name"] = "kladno" }},
		{"dataCentres[0].region", "lower-case", func(c object) { objectAt(c, "dataCentres", 0)["region"] = "" }},
		{"dataCentres[0].oneWayMs", "from 0", func(c object) { objectAt(c, "dataCentres", 0)["oneWayMs"] = -1 }},
		{"services", "at least one", func(c object) { c["services"] = []any{} }},
		{"services[1].name", "given twice", func(c object) { objectAt(c, "services", 1)["name"] = "mapa-skvrn" }},
		{"services[0].slots", "from 16 to 65536", func(c object) { objectAt(c, "services", 0)["slots"] = 0 }},
		{"services[1].slots", "left out", func(c object) { objectAt(c, "services", 1)["slots"] = 8 }},
		{"services[0].scope", "must be data-centre or all", func(c object) { objectAt(c, "services", 0)["scope"] = "some" }},
		{"services[0].targets", "at least one", func(c object) { objectAt(c, "services", 0)["targets"] = []any{} }},
		{"services[0].targets[1].name", "given twice", func(c object) { objectAt(c, "services", 0, "targets", 1)["name"] = "mapa-skvrn-01" }},
		{"services[0].targets[0].dataCentre", "none of", func(c object) { objectAt(c, "services", 0, "targets", 0)["dataCentre"] = "x" }},
		{"services[0].targets[1].address", "its own", func(c object) { objectAt(c, "services", 0, "targets", 1)["address"] = "127.0.0.1:21000" }},
		{"services[0].targets[0].slots", "from 1", func(c object) { objectAt(c, "services", 0, "targets", 0)["slots"] = 0 }},
		{"services[0].targets[0].connections", "from 5", func(c object) { objectAt(c, "services", 0, "targets", 0)["connections"] = 4 }},
		{"services[0].targets[0].weight", "above 0", func(c object) { objectAt(c, "services", 0, "targets", 0)["weight"] = 0 }},
		{"services[0].writeClass", "not among", func(c object) { objectAt(c, "services", 0)["writeClass"] = "confirmation" }},
		{"services[0].writeClass", "may not run twice", func(c object) { objectAt(c, "services", 0)["writeClass"] = "lookup" }},
		{"services[0].classes", "at least one", func(c object) { objectAt(c, "services", 0)["classes"] = []any{} }},
		{"services[0].classes[1].class", "given twice", func(c object) { objectAt(c, "services", 0, "classes", 1)["class"] = "lookup" }},
		{"services[0].classes[0].class", "must be lookup", func(c object) { objectAt(c, "services", 0, "classes", 0)["class"] = "x" }},
		{"services[0].classes[0].timeoutMs", "from 1", func(c object) { objectAt(c, "services", 0, "classes", 0)["timeoutMs"] = 0 }},
		{"services[0].classes[0].queueLimit", "from 1", func(c object) { objectAt(c, "services", 0, "classes", 0)["queueLimit"] = 0 }},
		{"services[0].classes[1].rememberMs", "from 9984", func(c object) { objectAt(c, "services", 0, "classes", 1)["rememberMs"] = 9983 }},
		{"services[0].limits.maxBodyBytes", "from 1", func(c object) { objectAt(c, "services", 0, "limits")["maxBodyBytes"] = 0 }},
		{"services[0].limits.coldStartMs", "from 0", func(c object) { objectAt(c, "services", 0, "limits")["coldStartMs"] = -1 }},
		{"services[0].limits.retryShare", "from 0 to 1", func(c object) { objectAt(c, "services", 0, "limits")["retryShare"] = 1.5 }},
		{"ownership.permitMs", "from 1", func(c object) { objectAt(c, "ownership")["permitMs"] = 0 }},
		{"ownership", "must be an object", func(c object) { c["ownership"] = 3 }},
	}
	document := config.Canonical(exampleConfiguration(t, "joint-venture", 3))
	for _, c := range cases {
		t.Run(c.path+" "+c.message, func(t *testing.T) {
			_, err := config.Parse(edit(t, document, c.edit))
			for _, f := range settings.AsProblems(types.CodeInternal, err) {
				if f.Path == c.path && strings.Contains(f.Message, c.message) {
					return
				}
			}
			t.Fatalf("want %q at %s, got: %v", c.message, c.path, err)
		})
	}
}

// Guards against a process that replaces its configuration by a lower version, or by other content under the same
// version.
func TestInstalledRefusesLowerVersions(t *testing.T) {
	is := is.New(t)
	var i config.Installed
	_, err := i.Install(config.Configuration{})
	is.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	changed, err := i.Install(exampleConfiguration(t, "semillas", 5))
	is.NoErr(err)
	is.True(changed)
	changed, err = i.Install(exampleConfiguration(t, "semillas", 5))
	is.NoErr(err)
	is.True(!changed)
	_, err = i.Install(exampleConfiguration(t, "joint-venture", 5))
	is.Equal(types.CodeOf(err), types.CodeConflict)
	_, err = i.Install(exampleConfiguration(t, "joint-venture", 4))
	is.Equal(types.CodeOf(err), types.CodeStaleEpoch)
	is.Equal(i.Current().Version, types.Version(5))
	is.Equal(i.Current().Services[0].Name, types.Service("bodega"))
	changed, err = i.Install(exampleConfiguration(t, "joint-venture", 9))
	is.NoErr(err)
	is.True(changed)
}

// Guards against a history record whose version differs from the one of its configuration, and against one that changes
// when it is parsed and encoded again.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	r := config.Record{Version: 3, Operator: "jana", WriteID: "w", Configuration: exampleConfiguration(t, "semillas", 3)}
	got, err := config.ParseRecord(r.Encode())
	is.NoErr(err)
	is.Equal(got.Encode(), r.Encode())
	r.Version = 4
	_, err = config.ParseRecord(r.Encode())
	is.True(strings.Contains(err.Error(), "version: is 4, but the configuration has version 3"))
}

// Guards against panics, and against accepted documents whose canonical form is not accepted or not stable.
func FuzzParse(f *testing.F) {
	for _, user := range exampleUsers {
		f.Add(config.Canonical(exampleConfiguration(f, user, 1)))
	}
	f.Add([]byte(`{"version":1,"dataCentres":[{"name":"a","region":"r","oneWayMs":1}],"services":[],"ownership":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Parse(data)
		if err != nil {
			return
		}
		canonical := config.Canonical(c)
		again, err := config.Parse(canonical)
		if err != nil || string(config.Canonical(again)) != string(canonical) {
			t.Fatalf("%v", err)
		}
	})
}

// Guards against answers that pass Validate but generate a configuration that Parse refuses.
func FuzzGenerate(f *testing.F) {
	f.Add([]byte(`{"team":"t","dataCentres":[{"name":"a","region":"r"}],"services":[{"name":"s","keyed":true,
		"requests":[{"class":"lookup","lateAfterMs":50,"mayRunTwice":true},{"class":"order","lateAfterMs":99,"waitMs":9}],
		"target":{"slots":2,"connections":3},"targets":[{"name":"t","dataCentre":"a","address":"10.0.0.1:1","weight":3}]}]}`))
	f.Add([]byte(`{"team":"t","recoverWithinMs":9,"dataCentres":[{"name":"a","region":"r","vms":1}],"services":[{"name":"s",
		"cutOff":"keep","staleMs":5,"extraLoadPercent":7,"spareTargets":0,"coldStartMs":0,"maxBodyBytes":1,
		"requests":[{"class":"lookup","lateAfterMs":5000,"typicalMs":9,"peakPerSecond":1,"mayRunTwice":true}],
		"target":{"slots":1,"connections":2},"targets":[{"name":"t","dataCentre":"a","address":"[::1]:9"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := config.ParseAnswers(data)
		if err != nil {
			return
		}
		c, err := config.Generate(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Parse(config.Canonical(c.WithVersion(1))); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against panics in the parsers of history records and operators' keys, which sailctl and every process apply to
// data from the store.
func FuzzParseRecord(f *testing.F) {
	c := exampleConfiguration(f, "semillas", 3)
	f.Add(config.Record{Version: 3, Operator: "jana", WriteID: "w", Configuration: c}.Encode(), "ops/target/bodega/bodega-01")
	f.Add([]byte(`{"version":1,"writeId":"w","reapplyOf":9,"configuration":{}}`), "ops/dc/a")
	f.Fuzz(func(t *testing.T, data []byte, key string) {
		if r, err := config.ParseRecord(data); err == nil {
			if again, err := config.ParseRecord(r.Encode()); err != nil || again.Version != r.Version {
				t.Fatal(err)
			}
		}
		if kind, name, err := config.SplitOpsKey(key); err == nil && "ops/"+string(kind)+"/"+name != key {
			t.Fatalf("%s became %s %s", key, kind, name)
		}
	})
}

// designSizeAnswers returns answers for one region of the size that the system is designed for: 3 data centres and
// 2,000 targets.
func designSizeAnswers(b *testing.B) config.Answers {
	b.Helper()
	a := exampleAnswers(b, "joint-venture")
	s := &a.Services[0]
	a.Services = a.Services[:1]
	s.Targets = s.Targets[:0]
	for i := range 2000 {
		s.Targets = append(s.Targets, config.TargetAnswer{
			Name: types.Target("t-" + strconv.Itoa(i)), DataCentre: a.DataCentres[i%3].Name, Weight: 1,
			Address: "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":80",
		})
	}
	*s.TableSlots = 65536
	return a
}

// BenchmarkConfiguration measures Generate, Parse and Diff for an example installation and at design size.
func BenchmarkConfiguration(b *testing.B) {
	for _, size := range []struct {
		name    string
		answers config.Answers
	}{{"today", exampleAnswers(b, "joint-venture")}, {"design", designSizeAnswers(b)}} {
		c := generate(b, size.answers).WithVersion(1)
		data := config.Canonical(c)
		b.Run("generate/"+size.name, func(b *testing.B) {
			for b.Loop() {
				generate(b, size.answers)
			}
		})
		b.Run("parse/"+size.name, func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "document-bytes")
		})
		b.Run("diff/"+size.name, func(b *testing.B) {
			for b.Loop() {
				config.Diff(c, c)
			}
		})
	}
}
