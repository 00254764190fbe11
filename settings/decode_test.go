package settings_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

type server struct {
	Name    string           `json:"name"`
	Address settings.Address `json:"address"`
	Weight  int              `json:"weight"`
}

func (s *server) SetDefaults() { s.Weight = 1 }

type sample struct {
	VM       types.VM          `json:"vm"`
	WaitMs   settings.Millis   `json:"waitMs"`
	Limit    uint8             `json:"limit"`
	Share    float64           `json:"share"`
	Enabled  bool              `json:"enabled"`
	Servers  []server          `json:"servers"`
	Labels   map[string]string `json:"labels"`
	Fallback *server           `json:"fallback"`
}

func (s *sample) Provision() { s.WaitMs.Default(250) }

func (s *sample) Validate() error {
	c := settings.NewChecks()
	c.Require("vm", string(s.VM))
	c.Between("waitMs", int64(s.WaitMs), 1, 1000, "ms")
	for i, v := range s.Servers {
		c.Address(settings.Join(settings.Index("servers", i), "address"), v.Address)
	}
	return c.Err()
}

// Guards against an invalid value that is accepted or reported without its path.
func TestFaultsNameThePath(t *testing.T) {
	cases := []struct{ name, document, want string }{
		{"unknown field", `{"vm":"a","wait":3}`, "wait: unknown field"},
		{"other case", `{"VM":"a","vm":"b"}`, "VM: unknown field"},
		{"nested unknown field", `{"vm":"a","servers":[{"nom":"x","address":"127.0.0.1:1"}]}`, "servers[0].nom: unknown field"},
		{"duplicate field", `{"vm":"a","vm":"b"}`, "vm: field given twice"},
		{"trailing data", `{"vm":"a"} {}`, ".: data after the end"},
		{"trailing garbage", `{"vm":"a"}x`, ".: data after the end"},
		{"not JSON", `{"vm":`, "vm: the document ends too early"},
		{"empty", ``, ".: the document ends too early"},
		{"syntax", `{"vm":"a",}`, ".: not valid JSON"},
		{"number for string", `{"vm":3}`, "vm: must be a string, not a number"},
		{"string for number", `{"vm":"a","waitMs":"3"}`, "waitMs: must be a number, not a string"},
		{"fraction", `{"vm":"a","waitMs":1.5}`, "waitMs: must be a whole number"},
		{"overflow", `{"vm":"a","limit":256}`, "limit: must be a whole number from 0"},
		{"negative", `{"vm":"a","limit":-1}`, "limit: must be a whole number from 0"},
		{"huge number", `{"vm":"a","share":1e999}`, "share: must be a number in range"},
		{"number for bool", `{"vm":"a","enabled":1}`, "enabled: must be true or false"},
		{"object for array", `{"vm":"a","servers":{}}`, "servers: must be an array, not an object"},
		{"array for object", `[]`, ".: must be an object, not an array"},
		{"null", `{"vm":null}`, "vm: null is not accepted"},
		{"bad map value", `{"vm":"a","labels":{"k":1}}`, "labels.k: must be a string"},
		{"pointer", `{"vm":"a","fallback":{"name":1}}`, "fallback.name: must be a string"},
		{"missing", `{}`, "vm: is required"},
		{"out of range", `{"vm":"a","waitMs":5000}`, "waitMs: must be from 1 to 1000 ms, not 5000"},
		{"name for address", `{"vm":"a","servers":[{"address":"host:1"}]}`, "servers[0].address: must be an IP number"},
		{"port 0", `{"vm":"a","servers":[{"address":"127.0.0.1:0"}]}`, "servers[0].address: needs a port"},
		{"too deep", strings.Repeat(`[`, 40), "nested more than 32 levels"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s sample
			err := settings.Load([]byte(c.document), &s)
			var problems settings.Problems
			is.True(errors.As(err, &problems))
			is.True(strings.Contains(err.Error(), c.want)) // err names the path and the fault
			is.Equal(len(problems), 1)
			is.Equal(types.CodeOf(err), types.CodeBadSettings)
		})
	}
}

// Guards against an error that reports only the first fault, which forces the operator to repair the file one fault at a
// time, and against a fault that is reported twice.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	var s sample
	err := settings.Load([]byte(`{"vm":1,"waitMs":0.5,"enabled":"x","extra":1,"servers":[{"address":"b"}]}`), &s)
	var problems settings.Problems
	is.True(errors.As(err, &problems))
	paths := []string{}
	for _, f := range problems {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{"vm", "waitMs", "enabled", "extra", "servers[0].address"})
}

// Guards against defaults that overwrite values of the document, and against values that are not decoded.
func TestLoadSetsValuesAndDefaults(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(settings.Load([]byte(`{"vm":"a","limit":7,"share":0.5,"enabled":true,
		"servers":[{"name":"x","address":"127.0.0.1:80"}],"labels":{"k":"v"},"fallback":{"name":"y"}}`), &s))
	is.Equal(s.WaitMs.Duration().Milliseconds(), int64(250))
	is.Equal(s.Servers, []server{{"x", "127.0.0.1:80", 1}})
	is.Equal(s.Labels["k"], "v")
	is.Equal(s.Fallback.Name, "y")
	is.Equal(s.Limit, uint8(7))
}

// Guards against a default that silently replaces an explicit zero.
func TestExplicitZeroIsKept(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(settings.Decode([]byte(`{"servers":[{"weight":0},{}]}`), &s))
	is.Equal(s.Servers[0].Weight, 0)
	is.Equal(s.Servers[1].Weight, 1)
}

// Guards against a document with many wrong values that exhausts the memory with faults.
func TestProblemsAreBounded(t *testing.T) {
	is := is.New(t)
	var s sample
	err := settings.Decode([]byte(`{"servers":[`+strings.Repeat("1,", 5000)+`1]}`), &s)
	is.Equal(len(settings.AsProblems(types.CodeBadSettings, err)), settings.MaxProblems)
}

// Guards against panics, and against documents that encoding/json rejects or decodes differently.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"vm":"a","limit":7,"servers":[{"name":"x","address":"127.0.0.1:80"}]}`))
	f.Add([]byte(`{"vm":"\ud800","labels":{"":"v"},"fallback":{}}`))
	f.Add([]byte(`{"share":1e308,"waitMs":-0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded, expected sample
		if settings.Decode(data, &decoded) != nil {
			return
		}
		if err := json.Unmarshal(data, &expected); err != nil {
			t.Fatalf("accepted a document that encoding/json rejects: %v", err)
		}
		for _, list := range [][]server{decoded.Servers, expected.Servers} {
			for i := range list {
				list[i].Weight = 0 // encoding/json does not call SetDefaults
			}
		}
		if decoded.Fallback != nil {
			decoded.Fallback.Weight, expected.Fallback.Weight = 0, 0
		}
		is.New(t).Equal(decoded, expected)
	})
}
