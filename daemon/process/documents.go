package process

import (
	"encoding/json"

	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// DecodeDocument decodes the ownership document of an event. A deleted document has only its key. ok is false when the
// key is not that of an ownership document.
func DecodeDocument(e store.Event) (d ownership.Document, ok bool, err error) {
	key, err := ownership.ParseDocumentKey(e.Key)
	if err != nil {
		return d, false, nil
	}
	d = ownership.Document{Key: key}
	if e.Deleted {
		return d, true, nil
	}
	d.Store = e.Revision
	switch key.Kind {
	case ownership.SlotsKind:
		d.Slots = &ownership.SlotDocument{}
		err = json.Unmarshal(e.Value, d.Slots)
	case ownership.LeasesKind:
		d.Leases = &ownership.LeaseDocument{}
		err = json.Unmarshal(e.Value, d.Leases)
	case ownership.GroupKind:
		d.Group = &ownership.GroupDocument{}
		err = json.Unmarshal(e.Value, d.Group)
	}
	if err != nil {
		return d, true, types.WrapFault(types.CodeBadConfiguration, err, "decode %s", e.Key)
	}
	return d, true, nil
}

// EncodeDocument returns the JSON encoding of d that the store holds.
func EncodeDocument(d ownership.Document) ([]byte, error) {
	var body any
	switch {
	case d.Slots != nil:
		body = d.Slots
	case d.Leases != nil:
		body = d.Leases
	default:
		body = d.Group
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode %s", d.Key)
	}
	return data, nil
}

// noOwner is the index of a slot without owner in OwnerList.Owners. Packages routing and placement use the same value.
const noOwner uint16 = 0xFFFF

// OwnerList lists the owner and the epoch of each slot of a slot document.
type OwnerList struct {
	// Targets holds each owner once, in the order of their first slots.
	Targets []types.Target
	// Owners holds an index into Targets for each slot, or noOwner.
	Owners []uint16
	// Epochs holds the epoch of each slot.
	Epochs []types.Epoch
}

// ListOwners expands the runs of a slot document. Slots in a state for which owned returns false get noOwner.
func ListOwners(d *ownership.SlotDocument, owned func(ownership.SlotState) bool) OwnerList {
	var out OwnerList
	indexes := make(map[types.Target]uint16)
	for _, run := range d.Runs {
		owner := noOwner
		if owned(run.State) {
			owner = out.index(indexes, run.Owner)
		}
		for range run.Count {
			out.Owners = append(out.Owners, owner)
			out.Epochs = append(out.Epochs, run.Epoch)
		}
	}
	return out
}

// index returns the index of target in Targets and appends the target if it is new.
func (l *OwnerList) index(indexes map[types.Target]uint16, target types.Target) uint16 {
	index, known := indexes[target]
	if !known {
		index = uint16(len(l.Targets))
		indexes[target] = index
		l.Targets = append(l.Targets, target)
	}
	return index
}
