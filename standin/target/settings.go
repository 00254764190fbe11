package target

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"sequoiasail.example/types"
)

// Cold modes: what happens to requests above the capacity of a cold target.
const (
	// ColdFail answers them with status 500 and restarts the warm-up.
	ColdFail = "fail"
	// ColdSlow runs requests that start above the capacity ten times slower.
	ColdSlow = "slow"
)

// Settings configures one stand-in target.
type Settings struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	// Listen is the host:port to listen on.
	Listen string `json:"listen"`
	// Slots is the largest number of requests that run at once. Further requests are refused.
	Slots int `json:"slots"`
	// Connections is the largest number of open connections. Further connections are closed at once.
	Connections int `json:"connections"`
	// ChecksGrants makes the target refuse requests without a valid grant.
	ChecksGrants bool `json:"checksGrants"`
	// Keyed makes the target also refuse requests for hash slots outside its grant.
	Keyed bool `json:"keyed"`
	// ServiceMs is the mean run time of a request, in milliseconds. Run times vary by up to half of it.
	ServiceMs float64 `json:"serviceMs"`
	// WarmMs is the duration of the warm-up, in milliseconds. After it a target can use all its slots.
	WarmMs int64 `json:"warmMs"`
	// ColdMode is ColdFail or ColdSlow.
	ColdMode string `json:"coldMode"`
	// HealthLagMs and LoadLagMs are the ages of the health and load reports, in milliseconds.
	HealthLagMs int64 `json:"healthLagMs"`
	LoadLagMs   int64 `json:"loadLagMs"`
	// JournalReads records GET and HEAD requests too.
	JournalReads bool `json:"journalReads"`
	// JournalLimit is the number of requests that the journal holds. Later ones are counted as dropped.
	JournalLimit int `json:"journalLimit"`
	// Seed makes the random run times repeatable.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns the default settings: 4 slots and a warm-up of one second.
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

// Validate returns a bad-settings fault with the path of the first invalid field, or nil.
func (s Settings) Validate() error {
	switch {
	case s.Name == "":
		return invalidSetting("name", "must not be empty")
	case s.Slots < 1:
		return invalidSetting("slots", "must be at least 1")
	case s.Connections < 1:
		return invalidSetting("connections", "must be at least 1")
	case s.ServiceMs < 0:
		return invalidSetting("serviceMs", "must not be negative")
	case s.WarmMs < 0:
		return invalidSetting("warmMs", "must not be negative")
	case s.HealthLagMs < 0 || s.LoadLagMs < 0:
		return invalidSetting("lag", "must not be negative")
	case s.ColdMode != ColdFail && s.ColdMode != ColdSlow:
		return invalidSetting("coldMode", "must be fail or slow")
	}
	return nil
}

func invalidSetting(path, message string) *types.Fault {
	f := types.NewFault(types.CodeBadSettings, "%s", message)
	f.Path = path
	return f
}

// Series returns count copies of s with numbered names and increasing seeds, on consecutive ports from that of s.Listen.
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

// ReadList reads a JSON array of settings from a file. Fields that an element omits are taken from base.
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
		if err := decodeStrict(element, &t); err != nil {
			return nil, types.WrapFault(types.CodeBadSettings, err, "target %d", i)
		}
		list = append(list, t)
	}
	return list, nil
}
