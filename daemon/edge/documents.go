package edge

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// Keys of the store that this daemon writes.
const (
	ownPrefix = "sail/"
	vmPrefix  = "sail/vm/"
	keeperKey = "sail/keeper"
	// ownerPrefix is outside ownPrefix: the keeper tells changes of owners to the VMs, because a watch of each VM for each
	// change would cost many times more calls.
	ownerPrefix = "sail-keys/"
)

// vmEntry is the entry of one VM in the store.
type vmEntry struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
	DataCentre  types.DataCentre  `json:"dataCentre"`
	// Cores is the VM's share of a core, or number of cores. Larger VMs take more of the work for all.
	Cores float64 `json:"cores"`
	// PeerAddress is host:port for datagrams from other VMs.
	PeerAddress string `json:"peerAddress"`
	// MirrorAddress is host:port for questions of other VMs by net/rpc.
	MirrorAddress string `json:"mirrorAddress"`
}

// keeperEntry names the keeper.
type keeperEntry struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The types above hold only strings and numbers.
		panic(types.WrapFault(types.CodeInternal, err, "encode document"))
	}
	return data
}

func decodeJSON[T any](key string, value []byte) (v T, err error) {
	if err := json.Unmarshal(value, &v); err != nil {
		return v, types.WrapFault(types.CodeBadConfiguration, err, "decode %s", key)
	}
	return v, nil
}

// tableDocument is a keyspace.Table in the store. Owners are listed once because each has many ranges.
type tableDocument struct {
	_      struct{} `cbor:",toarray"`
	Next   uint64
	Writer string
	Owners []ownerDocument
	Ranges []rangeDocument
}

type ownerDocument struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Life   int64
}

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
			d.Owners = append(d.Owners, ownerDocument{Target: string(r.Owner.Target), Life: r.Owner.Life})
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
			Owner: keyspace.Owner{Target: types.Target(o.Target), Life: o.Life},
		})
		from = int(r.To) + 1
	}
	return t, t.Validate()
}

func ownersKey(s types.Service) string { return ownerPrefix + string(s) }
