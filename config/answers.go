package config

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// Answers is a filled-in questionnaire. Questions describes each field in the words that users read.
type Answers struct {
	// Team names who answers.
	Team string `json:"team"`
	// RecoverWithinMs is how soon a key must be served again after a loss, in milliseconds. Default 3000.
	RecoverWithinMs int64 `json:"recoverWithinMs"`
	// BetweenRegionsMs is the delay between data centres of different regions, in milliseconds. Required when there are
	// several regions.
	BetweenRegionsMs int64              `json:"betweenRegionsMs,omitempty"`
	DataCentres      []DataCentreAnswer `json:"dataCentres,omitempty"`
	Services         []ServiceAnswer    `json:"services,omitempty"`
}

// DataCentreAnswer describes one data centre.
type DataCentreAnswer struct {
	Name   types.DataCentre `json:"name"`
	Region types.Region     `json:"region"`
	// OneWayMs is the delay to the other data centres of the region, in milliseconds. Default 3.
	OneWayMs int64 `json:"oneWayMs"`
	// CallerMs is the delay between callers and the data centre, in milliseconds. Default 8.
	CallerMs int64 `json:"callerMs"`
	// VMs is the number of entry VMs. Default 3.
	VMs int `json:"vms"`
}

// CutOff is what a data centre does with its keys when it is cut off from the others.
type CutOff string

const (
	// CutOffKeep lets it go on serving them. If it is lost, they wait for its return.
	CutOffKeep CutOff = "keep"
	// CutOffMove lets it stop, and the keys are served elsewhere.
	CutOffMove CutOff = "move"
)

// ServiceAnswer describes one service and what its callers can tolerate.
type ServiceAnswer struct {
	Name types.Service `json:"name"`
	// Keyed is true when each key has a sole owner among the targets. Default false.
	Keyed bool `json:"keyed"`
	// TableSlots is the size of the slot table of a keyed service. Default 1024.
	TableSlots *uint32 `json:"tableSlots,omitempty"`
	// ChecksGrants is true when targets refuse requests without a valid grant. Default false.
	ChecksGrants bool `json:"checksGrants"`
	// CutOff says what a cut-off data centre does with its keys. Default keep.
	CutOff CutOff `json:"cutOff"`
	// ReadOwnWrites is true when callers must see what they wrote before. Default false.
	ReadOwnWrites bool `json:"readOwnWrites"`
	// StaleMs is how old the state behind a lookup's answer may be, in milliseconds. Default 0.
	StaleMs int64 `json:"staleMs"`
	// ExtraLoadPercent is the extra load from retries and hedged requests that targets tolerate. Default 10.
	ExtraLoadPercent *int `json:"extraLoadPercent,omitempty"`
	// ColdStartMs is how long a freshly started target needs until it carries full load. Default 10000.
	ColdStartMs *int64 `json:"coldStartMs,omitempty"`
	// MaxBodyBytes is the largest request body, in bytes. Default 65536.
	MaxBodyBytes int64           `json:"maxBodyBytes"`
	Requests     []RequestAnswer `json:"requests,omitempty"`
	// Target holds what all targets have in common.
	Target  TargetDefaults `json:"target"`
	Targets []TargetAnswer `json:"targets,omitempty"`
	// SpareTargets is how many targets may be missing at peak load. Default a quarter of them.
	SpareTargets *int `json:"spareTargets,omitempty"`
	// DataCentreOutAtPeak is true when operators may take a data centre out at peak load. Default false.
	DataCentreOutAtPeak bool `json:"dataCentreOutAtPeak"`
}

// RequestAnswer describes one class of requests.
type RequestAnswer struct {
	// Class is lookup, order or confirmation.
	Class string `json:"class"`
	// LateAfterMs is when an answer is of no use to the caller any more, in milliseconds from its request.
	LateAfterMs int64 `json:"lateAfterMs"`
	// WaitMs is how long a request may wait for a busy target, in milliseconds. Default: what the deadline leaves.
	WaitMs *int64 `json:"waitMs,omitempty"`
	// TypicalMs is how long a target takes to answer one request, in milliseconds. Default 5.
	TypicalMs int64 `json:"typicalMs"`
	// PeakPerSecond is the largest rate of these requests to the whole service. Default 0, not known.
	PeakPerSecond int64 `json:"peakPerSecond"`
	// MayRunTwice is true when running a request twice does no harm. It must be true for lookups and only there.
	MayRunTwice bool `json:"mayRunTwice"`
	// ResendWithinMs is how long callers may send the same request again, in milliseconds. Default 600000 where
	// requests may not run twice.
	ResendWithinMs *int64 `json:"resendWithinMs,omitempty"`
}

// TargetDefaults is what the targets of a service have in common.
type TargetDefaults struct {
	// Slots is the number of requests a target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections a target accepts.
	Connections int `json:"connections"`
}

// TargetAnswer describes one target.
type TargetAnswer struct {
	Name       types.Target     `json:"name"`
	DataCentre types.DataCentre `json:"dataCentre"`
	// Address is the IP number and port.
	Address string `json:"address"`
	// Slots and Connections replace the common values where a target differs. Default: the common value.
	Slots       *int `json:"slots,omitempty"`
	Connections *int `json:"connections,omitempty"`
	// Weight is the capacity relative to the other targets. Default 1.
	Weight float64 `json:"weight"`
}

// Defaults of the answers, in the unit of the field.
const (
	defaultRecoverMs    = 3000
	defaultOneWayMs     = 3
	defaultCallerMs     = 8
	defaultVMs          = 3
	defaultTableSlots   = 1024
	defaultExtraPercent = 10
	defaultSpareDivisor = 4
	defaultColdStartMs  = 10000
	defaultMaxBodyBytes = 65536
	defaultTypicalMs    = 5
	defaultResendMs     = 600000
	defaultWeight       = 1
)

// SetDefaults sets the constant defaults before decoding.
func (a *Answers) SetDefaults() { a.RecoverWithinMs = defaultRecoverMs }

// SetDefaults sets the constant defaults before decoding.
func (d *DataCentreAnswer) SetDefaults() {
	d.OneWayMs = defaultOneWayMs
	d.CallerMs = defaultCallerMs
	d.VMs = defaultVMs
}

// SetDefaults sets the constant defaults before decoding.
func (s *ServiceAnswer) SetDefaults() {
	s.CutOff = CutOffKeep
	s.MaxBodyBytes = defaultMaxBodyBytes
}

// SetDefaults sets the constant defaults before decoding.
func (r *RequestAnswer) SetDefaults() { r.TypicalMs = defaultTypicalMs }

// SetDefaults sets the constant defaults before decoding.
func (t *TargetAnswer) SetDefaults() { t.Weight = defaultWeight }

// Provision fills the defaults that depend on other answers.
func (a *Answers) Provision() {
	for i := range a.Services {
		a.Services[i].provision()
	}
}

func (s *ServiceAnswer) provision() {
	if s.Keyed {
		setDefault(&s.TableSlots, defaultTableSlots)
	}
	setDefault(&s.ExtraLoadPercent, defaultExtraPercent)
	setDefault(&s.SpareTargets, len(s.Targets)/defaultSpareDivisor)
	setDefault(&s.ColdStartMs, defaultColdStartMs)
	for i := range s.Requests {
		if r := &s.Requests[i]; !r.MayRunTwice {
			setDefault(&r.ResendWithinMs, defaultResendMs)
		}
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		setDefault(&t.Slots, s.Target.Slots)
		setDefault(&t.Connections, s.Target.Connections)
	}
}

// regions returns the number of regions, without faulty names.
func (a Answers) regions() int {
	seen := map[types.Region]bool{}
	for _, d := range a.DataCentres {
		if validName(string(d.Region)) {
			seen[d.Region] = true
		}
	}
	return len(seen)
}

// linkMs returns the longest delay between two data centres. A value out of range counts as 0: a delay in the wrong unit
// is reported once and not as an impossible deadline of every service.
func (a Answers) linkMs() int64 {
	var ms int64
	for _, d := range a.DataCentres {
		ms = max(ms, inRangeOrZero(d.OneWayMs))
	}
	if a.regions() > 1 {
		ms = max(ms, inRangeOrZero(a.BetweenRegionsMs))
	}
	return ms
}

// callerMs returns the longest delay between callers and a data centre, out of range values as in linkMs.
func (a Answers) callerMs() int64 {
	var ms int64
	for _, d := range a.DataCentres {
		ms = max(ms, inRangeOrZero(d.CallerMs))
	}
	return ms
}

func inRangeOrZero(ms int64) int64 {
	if ms > maxLinkMs {
		return 0
	}
	return ms
}

// setDefault sets v to a pointer to d when it is nil.
func setDefault[T any](v **T, d T) {
	if *v == nil {
		*v = &d
	}
}

// value returns what v points at, or zero.
func value[T any](v *T) T {
	var zero T
	if v == nil {
		return zero
	}
	return *v
}

// clone returns a deep copy of a, so that provisioning does not change the caller's answers.
func (a Answers) clone() Answers {
	a.DataCentres = append([]DataCentreAnswer(nil), a.DataCentres...)
	a.Services = append([]ServiceAnswer(nil), a.Services...)
	for i := range a.Services {
		s := &a.Services[i]
		s.Requests = append([]RequestAnswer(nil), s.Requests...)
		s.Targets = append([]TargetAnswer(nil), s.Targets...)
	}
	return a
}

// ParseAnswers decodes and checks answers. It returns settings.Problems. The answers come back with their defaults.
func ParseAnswers(data []byte) (Answers, error) {
	var a Answers
	err := load(data, &a)
	return a, err
}

// DecodeAnswers decodes answers without checking them against each other, for a questionnaire that is filled in step by
// step. It returns settings.Problems for what is no questionnaire at all.
func DecodeAnswers(data []byte) (Answers, error) {
	var a Answers
	err := settings.DecodeAs(types.CodeBadConfiguration, data, &a)
	return a, err
}

// EncodeAnswers returns a as indented JSON, in the order of the questionnaire.
func EncodeAnswers(a Answers) []byte { return indentedJSON(a) }
