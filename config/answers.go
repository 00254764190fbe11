package config

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// Answers is a filled-in questionnaire. Questions returns the text that users read for each field.
type Answers struct {
	// Team is the name of the team that fills in the questionnaire.
	Team string `json:"team"`
	// RecoverWithinMs is the time within which a key must be served again after a VM or target is lost, in milliseconds.
	// Default 3000.
	RecoverWithinMs int64 `json:"recoverWithinMs"`
	// BetweenRegionsMs is the one-way network delay between data centres of different regions, in milliseconds.
	// Required when there are several regions.
	BetweenRegionsMs int64              `json:"betweenRegionsMs,omitempty"`
	DataCentres      []DataCentreAnswer `json:"dataCentres,omitempty"`
	Services         []ServiceAnswer    `json:"services,omitempty"`
}

// DataCentreAnswer describes one data centre.
type DataCentreAnswer struct {
	Name   types.DataCentre `json:"name"`
	Region types.Region     `json:"region"`
	// OneWayMs is the one-way network delay to the other data centres of the region, in milliseconds. Default 3.
	OneWayMs int64 `json:"oneWayMs"`
	// CallerMs is the one-way network delay between callers and the data centre, in milliseconds. Default 8.
	CallerMs int64 `json:"callerMs"`
	// VMs is the number of entry VMs, the machines that run the daemons. Default 3.
	VMs int `json:"vms"`
}

// CutOff says what happens to the keys of a data centre during a network partition that cuts it off from the others.
type CutOff string

const (
	// CutOffKeep means that the data centre goes on serving its keys. If it fails, the keys are unavailable until it
	// returns.
	CutOffKeep CutOff = "keep"
	// CutOffMove means that the data centre stops serving its keys, and targets in other data centres take them over.
	CutOffMove CutOff = "move"
)

// ServiceAnswer describes one service and what its callers can tolerate.
type ServiceAnswer struct {
	Name types.Service `json:"name"`
	// Keyed is true when each key has a sole owner among the targets. Default false.
	Keyed bool `json:"keyed"`
	// TableSlots is the number of slots into which the keys of a keyed service are divided; each slot has one owner.
	// Default 1024.
	TableSlots *uint32 `json:"tableSlots,omitempty"`
	// ChecksGrants is true when targets refuse requests without a valid grant. Default false.
	ChecksGrants bool `json:"checksGrants"`
	// CutOff says what a data centre that is cut off from the others does with its keys. Default keep.
	CutOff CutOff `json:"cutOff"`
	// ReadOwnWrites is true when a caller's lookups must reflect its own earlier writes. Default false.
	ReadOwnWrites bool `json:"readOwnWrites"`
	// StaleMs is the largest age of the state from which a lookup may be answered, in milliseconds. Default 0.
	StaleMs int64 `json:"staleMs"`
	// ExtraLoadPercent is the extra load from retries and hedged requests that targets tolerate. Default 10.
	ExtraLoadPercent *int `json:"extraLoadPercent,omitempty"`
	// ColdStartMs is how long a newly started target needs until it can carry full load, in milliseconds. Default 10000.
	ColdStartMs *int64 `json:"coldStartMs,omitempty"`
	// MaxBodyBytes is the largest request body, in bytes. Default 65536.
	MaxBodyBytes int64           `json:"maxBodyBytes"`
	Requests     []RequestAnswer `json:"requests,omitempty"`
	// Target holds the default limits of the service's targets.
	Target  TargetDefaults `json:"target"`
	Targets []TargetAnswer `json:"targets,omitempty"`
	// SpareTargets is the number of targets that may be unavailable at peak load. Default a quarter of them.
	SpareTargets *int `json:"spareTargets,omitempty"`
	// DataCentreOutAtPeak is true when operators may take a data centre out at peak load. Default false.
	DataCentreOutAtPeak bool `json:"dataCentreOutAtPeak"`
}

// RequestAnswer describes one class of requests.
type RequestAnswer struct {
	// Class is lookup, order or confirmation.
	Class string `json:"class"`
	// LateAfterMs is the deadline for the answer, in milliseconds from the sending of the request by the caller.
	LateAfterMs int64 `json:"lateAfterMs"`
	// WaitMs is how long a request may wait in the queue of a busy target, in milliseconds. Default: the time up to the
	// deadline, less the network delays and TypicalMs.
	WaitMs *int64 `json:"waitMs,omitempty"`
	// TypicalMs is how long a target takes to answer one request, in milliseconds. Default 5.
	TypicalMs int64 `json:"typicalMs"`
	// PeakPerSecond is the largest rate of these requests to the whole service. Default 0, which means unknown.
	PeakPerSecond int64 `json:"peakPerSecond"`
	// MayRunTwice is true when requests are idempotent. It must be true for lookups and false for the other classes.
	MayRunTwice bool `json:"mayRunTwice"`
	// ResendWithinMs is how long after a request callers may send it again, in milliseconds. Default 600000 for classes
	// that may not run twice; lookups have none.
	ResendWithinMs *int64 `json:"resendWithinMs,omitempty"`
}

// TargetDefaults holds the limits of a target that TargetAnswer does not override.
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
	// Address is the IP address and port.
	Address string `json:"address"`
	// Slots and Connections override TargetDefaults for this target. Default: the values of TargetDefaults.
	Slots       *int `json:"slots,omitempty"`
	Connections *int `json:"connections,omitempty"`
	// Weight is the capacity relative to the other targets: twice the weight gets twice the keys. Default 1.
	Weight float64 `json:"weight"`
}

// Defaults of the answers, in the unit of the field. defaultSpareDivisor is the number of targets per spare target.
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

// SetDefaults implements the interface of package settings: it sets the constant defaults before decoding.
func (a *Answers) SetDefaults() { a.RecoverWithinMs = defaultRecoverMs }

// SetDefaults implements the interface of package settings: it sets the constant defaults before decoding.
func (d *DataCentreAnswer) SetDefaults() {
	d.OneWayMs = defaultOneWayMs
	d.CallerMs = defaultCallerMs
	d.VMs = defaultVMs
}

// SetDefaults implements the interface of package settings: it sets the constant defaults before decoding.
func (s *ServiceAnswer) SetDefaults() {
	s.CutOff = CutOffKeep
	s.MaxBodyBytes = defaultMaxBodyBytes
}

// SetDefaults implements the interface of package settings: it sets the constant defaults before decoding.
func (r *RequestAnswer) SetDefaults() { r.TypicalMs = defaultTypicalMs }

// SetDefaults implements the interface of package settings: it sets the constant defaults before decoding.
func (t *TargetAnswer) SetDefaults() { t.Weight = defaultWeight }

// Provision sets the defaults that depend on other answers. Package settings calls it after decoding.
func (a *Answers) Provision() {
	for i := range a.Services {
		a.Services[i].provision()
	}
}

// provision sets the defaults of a service that depend on other answers.
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

// regionCount returns the number of regions. Regions with an invalid name do not count.
func (a Answers) regionCount() int {
	seen := map[types.Region]bool{}
	for _, d := range a.DataCentres {
		if validName(string(d.Region)) {
			seen[d.Region] = true
		}
	}
	return len(seen)
}

// longestLinkMs returns the longest one-way delay between two data centres. A value out of range counts as 0, so that a
// delay in the wrong unit is reported once and not also as an impossible deadline of every service.
func (a Answers) longestLinkMs() int64 {
	var ms int64
	for _, d := range a.DataCentres {
		ms = max(ms, inRangeOrZero(d.OneWayMs))
	}
	if a.regionCount() > 1 {
		ms = max(ms, inRangeOrZero(a.BetweenRegionsMs))
	}
	return ms
}

// longestCallerMs returns the longest one-way delay between callers and a data centre. As in longestLinkMs, a value out
// of range counts as 0.
func (a Answers) longestCallerMs() int64 {
	var ms int64
	for _, d := range a.DataCentres {
		ms = max(ms, inRangeOrZero(d.CallerMs))
	}
	return ms
}

// inRangeOrZero returns ms, or 0 when ms is above maxLinkMs.
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

// valueOrZero returns what v points at, or the zero value when v is nil.
func valueOrZero[T any](v *T) T {
	var zero T
	if v == nil {
		return zero
	}
	return *v
}

// clone returns a copy of a with lists of its own, so that provisioning does not change the caller's answers. Values
// behind pointers are shared: provisioning only replaces nil pointers.
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

// ParseAnswers decodes and checks answers and returns them with their defaults set. Faults are settings.Problems.
func ParseAnswers(data []byte) (Answers, error) {
	var a Answers
	err := decodeAndValidate(data, &a)
	return a, err
}

// DecodeAnswers decodes answers without validating them, for a questionnaire that is filled in step by step. It returns
// settings.Problems when data does not decode into Answers.
func DecodeAnswers(data []byte) (Answers, error) {
	var a Answers
	err := settings.DecodeAs(types.CodeBadConfiguration, data, &a)
	return a, err
}

// EncodeAnswers returns a as indented JSON, in the order of the questionnaire.
func EncodeAnswers(a Answers) []byte { return indentedJSON(a) }
