package target

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"sequoiasail.example/types"
)

// Cold modes: what happens to requests above what a cold target bears.
const (
	// ColdFail answers them with status 500 and makes the target cold again.
	ColdFail = "fail"
	// ColdSlow runs all requests ten times slower while there are too many.
	ColdSlow = "slow"
)

// Settings describes one stand-in target.
type Settings struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	// Listen is host:port.
	Listen string `json:"listen"`
	// Slots is the number of requests that run at once. Further requests are refused.
	Slots int `json:"slots"`
	// Connections is the number of open connections. Further connections are closed at once.
	Connections int `json:"connections"`
	// ChecksGrants makes the target refuse requests without a valid grant.
	ChecksGrants bool `json:"checksGrants"`
	// Keyed makes the target also refuse requests for slots outside its grant.
	Keyed bool `json:"keyed"`
	// ServiceMs is the mean time that a request runs, in milliseconds. Single times are within half of it.
	ServiceMs float64 `json:"serviceMs"`
	// WarmMs is the time until a cold target bears load on all its slots, in milliseconds.
	WarmMs int64 `json:"warmMs"`
	// ColdMode is ColdFail or ColdSlow.
	ColdMode string `json:"coldMode"`
	// HealthLagMs and LoadLagMs are the age of the reports, in milliseconds.
	HealthLagMs int64 `json:"healthLagMs"`
	LoadLagMs   int64 `json:"loadLagMs"`
	// JournalReads records GET and HEAD requests too.
	JournalReads bool `json:"journalReads"`
	// JournalLimit is the number of requests that the journal holds. Later ones are counted as dropped.
	JournalLimit int `json:"journalLimit"`
	// Seed makes the times that requests run repeatable.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns a warm-up within a second and 4 slots.
func DefaultSettings() Settings {
	return Settings{
		Service:      "service",
		Name:         "target",
		Listen:       "127.0.0.1:0",
		Slots:        4,
		Connections:  110,
		ChecksGrants: true,
		Keyed:        true,
		ServiceMs:    2,
		WarmMs:       1000,
		ColdMode:     ColdFail,
		JournalLimit: 1_000_000,
	}
}

// Validate returns a bad-settings fault with the path of the first wrong field.
func (s Settings) Validate() error {
	switch {
	case s.Name == "":
		return bad("name", "must not be empty")
	case s.Slots < 1:
		return bad("slots", "must be at least 1")
	case s.Connections < 1:
		return bad("connections", "must be at least 1")
	case s.ServiceMs < 0:
		return bad("serviceMs", "must not be negative")
	case s.WarmMs < 0:
		return bad("warmMs", "must not be negative")
	case s.HealthLagMs < 0 || s.LoadLagMs < 0:
		return bad("lag", "must not be negative")
	case s.ColdMode != ColdFail && s.ColdMode != ColdSlow:
		return bad("coldMode", "must be fail or slow")
	}
	return nil
}

func bad(path, message string) *types.Fault {
	f := types.NewFault(types.CodeBadSettings, "%s", message)
	f.Path = path
	return f
}

// Series returns count copies of s on consecutive ports from the port of s.Listen, named after s.Name.
func Series(s Settings, count int) ([]Settings, error) {
	host, port, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "listen address")
	}
	first, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "listen port")
	}
	list := make([]Settings, 0, max(count, 0))
	for i := range count {
		t := s
		t.Name = fmt.Sprintf("%s-%02d", s.Name, i)
		t.Seed = s.Seed + uint64(i)
		if first != 0 {
			t.Listen = net.JoinHostPort(host, strconv.FormatUint(first+uint64(i), 10))
		}
		list = append(list, t)
	}
	return list, nil
}

// ReadList reads a JSON array of settings. Fields that an element leaves out are taken from base.
func ReadList(path string, base Settings) ([]Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "read target list")
	}
	return decodeList(data, base)
}

func decodeList(data []byte, base Settings) ([]Settings, error) {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "decode target list")
	}
	list := make([]Settings, 0, len(elements))
	for i, element := range elements {
		t := base
		t.Seed = base.Seed + uint64(i)
		if err := strict(element, &t); err != nil {
			return nil, types.WrapFault(types.CodeBadSettings, err, "target %d", i)
		}
		list = append(list, t)
	}
	return list, nil
}
