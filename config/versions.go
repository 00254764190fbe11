package config

import (
	"bytes"

	"sequoiasail.example/types"
)

// Installed holds the configuration that a process uses and replaces it by newer ones. The zero value holds none. It is
// not safe for concurrent use.
type Installed struct {
	current Configuration
	// bytes is the canonical form of current.
	bytes []byte
}

// Current returns the installed configuration. Its version is 0 when there is none.
func (i *Installed) Current() Configuration { return i.current }

// Install installs c when its version is higher than the installed one and reports whether it did. An equal version with
// the same content is ignored. A lower version gives a stale-epoch fault. An equal version with other content gives a
// conflict fault: two processes would use different configurations under one version.
func (i *Installed) Install(c Configuration) (bool, error) {
	have := i.current.Version
	data := Canonical(c)
	switch {
	case c.Version == 0:
		return false, types.NewFault(types.CodeBadConfiguration, "a configuration without a version cannot be installed")
	case c.Version < have:
		return false, types.NewFault(types.CodeStaleEpoch, "version %d offered while %d is installed", c.Version, have)
	case c.Version == have && bytes.Equal(data, i.bytes):
		return false, nil
	case c.Version == have:
		return false, types.NewFault(types.CodeConflict, "version %d is already installed with other content", have)
	}
	i.current = c
	i.bytes = data
	return true, nil
}

// Record is the value of a history key: one accepted version of the configuration, who accepted it, when and why.
type Record struct {
	Version types.Version `json:"version"`
	// Operator, Note and At are empty when the writer of the version failed before it wrote the record, so that another
	// operator's command wrote it later.
	Operator string `json:"operator,omitempty"`
	Note     string `json:"note,omitempty"`
	// At is the time of the decision by the operator's clock, RFC 3339. It is informational and never used for
	// ordering.
	At string `json:"at,omitempty"`
	// WriteID is the identifier of the write to KeyCurrent that put the version in force.
	WriteID string `json:"writeId"`
	// ReapplyOf is the earlier version whose content this version restores, or 0.
	ReapplyOf     types.Version `json:"reapplyOf,omitempty"`
	Configuration Configuration `json:"configuration"`
}

// Encode returns the stored form of r.
func (r Record) Encode() []byte {
	r.Configuration = normalize(r.Configuration)
	return compactJSON(r)
}

// Validate reports the faults of a stored record.
func (r Record) Validate() error {
	c := newChecks()
	c.Require("writeId", r.WriteID)
	if r.Version != r.Configuration.Version {
		c.Fail("version", "is %d, but the configuration has version %d", r.Version, r.Configuration.Version)
	}
	checkConfiguration(c, "configuration", r.Configuration)
	return c.Err()
}

// ParseRecord decodes and checks a stored record. It returns settings.Problems.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := decodeAndValidate(data, &r); err != nil {
		return Record{}, err
	}
	return r, nil
}
