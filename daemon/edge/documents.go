package edge

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/types"
)

// Keys and key prefixes of the store that this daemon writes.
const (
	daemonPrefix   = "sail/"
	vmPrefix       = "sail/vm/"
	coordinatorKey = "sail/keeper"
	// ownerPrefix is outside daemonPrefix and is not watched: the coordinator sends changes of owners to the VMs, because
	// watches would cost a store call per VM and change.
	ownerPrefix = "sail-keys/"
)

// vmEntry is the entry of one VM in the store.
type vmEntry struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
	DataCentre  types.DataCentre  `json:"dataCentre"`
	// Cores is the number of cores of the VM, possibly a fraction. Larger VMs are preferred for shared work: as coordinator and
	// as watchers of the store.
	Cores float64 `json:"cores"`
	// PeerAddress is the host:port for datagrams from other VMs.
	PeerAddress string `json:"peerAddress"`
	// MirrorAddress is the host:port of the Mirror service, called by other VMs with net/rpc.
	MirrorAddress string `json:"mirrorAddress"`
}

// coordinatorEntry is the store entry that names the process with the coordinator role.
type coordinatorEntry struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
	// Era is the era of the store in which the entry was written. A store that goes back to a snapshot may hold an entry of an
	// earlier one, whose coordinator has lost its lease.
	Era types.Era `json:"era,omitempty"`
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The types above hold only strings and numbers.
		panic(types.WrapFault(types.CodeInternal, err, "encode document"))
	}
	return data
}

// Limits of the entries of VMs.
const (
	// maxEntryBytes bounds an entry of a VM and the coordinator entry.
	maxEntryBytes = 4 << 10
	// maxCores is far above the cores of any VM.
	maxCores = 4096
)

// decodeJSON decodes an entry that this daemon writes. The text of its CodeBadConfiguration fault quotes only the beginning
// of the decoder's error, which repeats numbers of any length.
func decodeJSON[T any](value []byte) (v T, err error) {
	if len(value) > maxEntryBytes {
		return v, types.NewFault(types.CodeBadConfiguration, "%d bytes", len(value))
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return v, types.NewFault(types.CodeBadConfiguration, "not an entry: %.200s", err.Error())
	}
	return v, nil
}

// decodeVMEntry decodes the entry of the VM with the given name. It returns a CodeBadConfiguration fault when the entry names
// another VM or when a value is out of range.
func decodeVMEntry(name types.VM, value []byte) (vmEntry, error) {
	m, err := decodeJSON[vmEntry](value)
	if err != nil {
		return vmEntry{}, err
	}
	if m.VM != name || !platform.IsName(string(name)) || !platform.IsName(string(m.DataCentre)) || m.Cores < 0 || m.Cores > maxCores {
		return vmEntry{}, types.NewFault(types.CodeBadConfiguration, "names another VM or has values out of range")
	}
	for _, address := range []string{m.PeerAddress, m.MirrorAddress} {
		if _, ok := platform.ParseAddress(address); !ok {
			return vmEntry{}, types.NewFault(types.CodeBadConfiguration, "has address %.40q", address)
		}
	}
	return m, nil
}

// decodeCoordinatorEntry decodes the entry that names the coordinator. It returns a CodeBadConfiguration fault when it names
// nobody.
func decodeCoordinatorEntry(value []byte) (coordinatorEntry, error) {
	c, err := decodeJSON[coordinatorEntry](value)
	if err == nil && !platform.IsName(string(c.VM)) {
		err = types.NewFault(types.CodeBadConfiguration, "names no VM")
	}
	if err != nil {
		return coordinatorEntry{}, err
	}
	return c, nil
}

// tableDocument is the encoding of a keyspace.Table in the store. Owners are listed once because each has many ranges.
// Ranges are in key order and cover all keys, so only their ends are stored.
type tableDocument struct {
	_      struct{} `cbor:",toarray"`
	Next   uint64
	Writer string
	Owners []ownerDocument
	Ranges []rangeDocument
}

// ownerDocument is a keyspace.Owner in a tableDocument.
type ownerDocument struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation int64
}

// rangeDocument is a keyspace.Range in a tableDocument. To is the last key of the range, Owner an index into Owners.
type rangeDocument struct {
	_        struct{} `cbor:",toarray"`
	To       uint16
	Owner    int
	Fence    uint64
	Handover string
}

func encodeTable(t keyspace.Table) ([]byte, error) {
	d := tableDocument{Next: uint64(t.NextFence), Writer: t.Writer}
	index := make(map[keyspace.Owner]int)
	for _, r := range t.Ranges {
		n, ok := index[r.Owner]
		if !ok {
			n = len(d.Owners)
			index[r.Owner] = n
			d.Owners = append(d.Owners, ownerDocument{Target: string(r.Owner.Target), Incarnation: r.Owner.Incarnation})
		}
		d.Ranges = append(d.Ranges, rangeDocument{To: r.To, Owner: n, Fence: uint64(r.Fence), Handover: r.Handover})
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode the owners of keys")
	}
	return data, nil
}

func decodeTable(value []byte) (keyspace.Table, error) {
	var d tableDocument
	if err := cbor.Unmarshal(value, &d); err != nil {
		return keyspace.Table{}, types.WrapFault(types.CodeBadConfiguration, err, "decode the owners of keys")
	}
	t := keyspace.Table{NextFence: types.Epoch(d.Next), Writer: d.Writer}
	from := 0
	for _, r := range d.Ranges {
		if r.Owner < 0 || r.Owner >= len(d.Owners) {
			return keyspace.Table{}, types.NewFault(types.CodeBadConfiguration, "owner %d of keys is not listed", r.Owner)
		}
		o := d.Owners[r.Owner]
		t.Ranges = append(t.Ranges, keyspace.Range{
			From: keyspace.Key(from), To: r.To, Fence: types.Epoch(r.Fence), Handover: r.Handover,
			Owner: keyspace.Owner{Target: types.Target(o.Target), Incarnation: o.Incarnation},
		})
		from = int(r.To) + 1
	}
	return t, t.Validate()
}

func ownersKey(s types.Service) string { return ownerPrefix + string(s) }
