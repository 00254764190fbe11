package config

import (
	"strconv"
	"strings"

	"sequoiasail.example/types"
)

// Keys and prefixes of the store that hold configuration and operators' rows.
const (
	// KeyCurrent is the key of the configuration in force, stored in its canonical form.
	KeyCurrent = "config/current"
	// PrefixHistory is the common prefix of the keys of Records. A version follows it.
	PrefixHistory = "config/history/"
	// PrefixOps is the common prefix of all operators' rows.
	PrefixOps = "ops/"
)

// OpsKind is the kind of object that an operators' row applies to.
type OpsKind string

// Kinds of operators' rows. Each is the second part of the row's key.
const (
	OpsDataCentre OpsKind = "dc"
	OpsVM         OpsKind = "vm"
	OpsTarget     OpsKind = "target"
)

// HistoryKey returns the key of a version's Record. The number is padded so that keys sort by version.
func HistoryKey(v types.Version) string {
	const digits = 10
	number := strconv.FormatUint(uint64(v), 10)
	return PrefixHistory + strings.Repeat("0", max(digits-len(number), 0)) + number
}

// DataCentreKey returns the key of a data centre's row.
func DataCentreKey(name types.DataCentre) string { return opsKey(OpsDataCentre, string(name)) }

// VMKey returns the key of a VM's row.
func VMKey(name types.VM) string { return opsKey(OpsVM, string(name)) }

// TargetKey returns the key of a target's row.
func TargetKey(id types.TargetID) string { return opsKey(OpsTarget, id.String()) }

// opsKey returns the key of the operators' row of the named object.
func opsKey(kind OpsKind, name string) string { return PrefixOps + string(kind) + "/" + name }

// SplitOpsKey returns the kind and the name of the object that the operators' row at key applies to. The name of a
// target is "service/target". It returns a bad-configuration fault for any other key.
func SplitOpsKey(key string) (OpsKind, string, error) {
	rest, found := strings.CutPrefix(key, PrefixOps)
	kind, name, split := strings.Cut(rest, "/")
	if !found || !split {
		return "", "", invalidOpsKey(key)
	}
	parts := strings.Split(name, "/")
	want := 1
	switch OpsKind(kind) {
	case OpsDataCentre, OpsVM:
	case OpsTarget:
		want = 2
	default:
		return "", "", invalidOpsKey(key)
	}
	if len(parts) != want {
		return "", "", invalidOpsKey(key)
	}
	for _, part := range parts {
		if !validName(part) {
			return "", "", invalidOpsKey(key)
		}
	}
	return OpsKind(kind), name, nil
}

// invalidOpsKey returns the fault for a key that is not the key of an operators' row.
func invalidOpsKey(key string) error {
	return types.NewFault(types.CodeBadConfiguration, "%q is not the key of an operators' row", key)
}
