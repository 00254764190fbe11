package process

import (
	"encoding/json"

	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// DecodeDocument returns the ownership document of an event. ok is false for other keys.
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

// EncodeDocument returns the stored form of d.
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

// noOwner is what the routing and the placement core call a slot without owner.
const noOwner uint16 = 0xFFFF

// OwnerList gives the owner of each slot of a document as an index into Targets.
type OwnerList struct {
	Targets []types.Target
	Owners  []uint16
	Epochs  []types.Epoch
}

// ListOwners expands the runs of a slot document. Slots in a state for which owned returns false have no owner.
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

func (l *OwnerList) index(indexes map[types.Target]uint16, target types.Target) uint16 {
	index, known := indexes[target]
	if !known {
		index = uint16(len(l.Targets))
		indexes[target] = index
		l.Targets = append(l.Targets, target)
	}
	return index
}
