package gateway

import (
	"context"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

// storeTranslator turns changes of the store into messages of the routing core. It is owned by the watch duty.
type storeTranslator struct {
	gw *Gateway
	// hotKeys holds the rows of each slot document, by service and part, because the core takes all rows of a service at
	// once.
	hotKeys map[types.Service]map[uint16][]ownership.HotKey
	// leaseHolders holds, by service, the dispatchers that hold an active lease.
	leaseHolders map[types.Service]map[ownership.Peer]bool
	// dispatchers holds the dispatchers that are registered or still hold an active lease, and registered says which
	// are registered.
	dispatchers map[ownership.Peer]process.Member
	registered  map[ownership.Peer]bool
}

func newStoreTranslator(gw *Gateway) *storeTranslator {
	return &storeTranslator{
		gw:           gw,
		hotKeys:      make(map[types.Service]map[uint16][]ownership.HotKey),
		leaseHolders: make(map[types.Service]map[ownership.Peer]bool),
		dispatchers:  make(map[ownership.Peer]process.Member),
	}
}

// applyChange passes a change of the store to the router. It runs on the watch duty.
func (t *storeTranslator) applyChange(ctx context.Context, c process.Change) error {
	if c.Err != nil {
		t.gw.base.Log.Warn("store cannot be read", map[string]any{"error": c.Err.Error()})
		return nil
	}
	var out controlUpdate
	if c.Config != nil {
		t.configure(c.Config, &out)
	}
	if c.Ops != nil {
		out.messages = append(out.messages, operationsMessage(c.Ops))
	}
	for _, d := range c.Documents {
		out.messages = append(out.messages, t.documentMessages(d)...)
	}
	if c.Members != nil {
		t.updateRegistered(c.Members)
	}
	if c.Members != nil || len(c.Documents) > 0 {
		out.messages = append(out.messages, t.membersMessage(c.Revision))
	}
	if len(out.messages) > 0 {
		if err := t.gw.router.controlUpdates.Put(ctx, out); err != nil {
			return err
		}
	}
	t.gw.publishStatus(c) // operators wait for this status, so the router must have the change first
	return nil
}

func (t *storeTranslator) configure(c *config.Configuration, out *controlUpdate) {
	view, err := newConfigView(c)
	if err != nil {
		t.gw.base.Log.Warn("configuration refused", map[string]any{"version": c.Version, "error": err.Error()})
		return
	}
	t.gw.view.Store(view)
	out.messages = append(out.messages, routing.Message{Kind: routing.KindConfiguration, Configuration: c})
}

func operationsMessage(o *process.Operations) routing.Message {
	m := &routing.Operations{Revision: o.Revision}
	for name, state := range o.DataCentres {
		m.DataCentres = append(m.DataCentres, routing.DataCentreState{DataCentre: name, State: stateOf(state)})
	}
	for name, state := range o.VMs {
		m.VMs = append(m.VMs, routing.VMState{VM: name, State: stateOf(state)})
	}
	for id, state := range o.Targets {
		m.Targets = append(m.Targets, routing.TargetState{Target: id, State: stateOf(state)})
	}
	return routing.Message{Kind: routing.KindOperations, Operations: m}
}

func stateOf(s config.OpsState) routing.State {
	switch s {
	case config.OpsOut:
		return routing.StateOutOfService
	case config.OpsDraining:
		return routing.StateDraining
	default:
		return routing.StateInService
	}
}

func (t *storeTranslator) updateRegistered(members []process.Member) {
	t.registered = make(map[ownership.Peer]bool)
	for _, m := range members {
		if m.Role != process.RoleDispatcher {
			continue
		}
		p := ownership.Peer{VM: m.VM, Incarnation: m.Incarnation}
		t.registered[p] = true
		t.dispatchers[p] = m
	}
}

// membersMessage sets the peers of the links duty and returns the list of dispatchers for the core. A dispatcher whose
// registration has expired, as all do in a long outage of the store, is listed while it holds a lease, because it may
// still serve.
func (t *storeTranslator) membersMessage(revision types.Revision) routing.Message {
	newest := make(map[types.VM]process.Member)
	for p, m := range t.dispatchers {
		if !t.registered[p] && !t.holdsLease(p) {
			delete(t.dispatchers, p)
			continue
		}
		if m.Incarnation > newest[p.VM].Incarnation {
			newest[p.VM] = m
		}
	}
	rows := &routing.Members{Revision: revision}
	var peers []process.Peer
	for _, m := range newest {
		rows.Rows = append(rows.Rows, routing.Member{VM: m.VM, DataCentre: m.DataCentre, Incarnation: m.Incarnation})
		peers = append(peers, process.Peer{VM: m.VM, Incarnation: m.Incarnation, Address: m.PeerAddress})
	}
	t.gw.links.Set(peers)
	return routing.Message{Kind: routing.KindMembers, Members: rows}
}

func (t *storeTranslator) holdsLease(p ownership.Peer) bool {
	for _, leaseHolders := range t.leaseHolders {
		if leaseHolders[p] {
			return true
		}
	}
	return false
}

func (t *storeTranslator) documentMessages(d ownership.Document) []routing.Message {
	switch {
	case d.Slots != nil:
		return []routing.Message{tableMessage(d), t.hotKeyMessage(d)}
	case d.Leases != nil:
		t.recordLeaseHolders(d)
		return []routing.Message{leasesMessage(d)}
	default:
		return nil
	}
}

// tableMessage gives slots that are being released no owner, because their former owner takes no new requests for them.
func tableMessage(d ownership.Document) routing.Message {
	list := process.ListOwners(d.Slots, func(s ownership.SlotState) bool { return s == ownership.SlotOwned })
	return routing.Message{Kind: routing.KindTable, Table: &routing.Table{
		Service:   d.Key.Service,
		Revision:  types.Revision(d.Slots.Epoch),
		FirstSlot: types.Slot(uint32(d.Key.Part) * ownership.SlotsPerDocument),
		Targets:   list.Targets,
		Owners:    list.Owners,
		Epochs:    list.Epochs,
	}}
}

func (t *storeTranslator) hotKeyMessage(d ownership.Document) routing.Message {
	parts := t.hotKeys[d.Key.Service]
	if parts == nil {
		parts = make(map[uint16][]ownership.HotKey)
		t.hotKeys[d.Key.Service] = parts
	}
	parts[d.Key.Part] = d.Slots.HotKeys
	rows := &routing.HotKeys{Service: d.Key.Service, Revision: d.Store}
	for _, part := range parts {
		for _, row := range part {
			rows.Rows = append(rows.Rows, hotKeyRow(row))
		}
	}
	return routing.Message{Kind: routing.KindHotKeys, HotKeys: rows}
}

func hotKeyRow(row ownership.HotKey) routing.HotKey {
	out := routing.HotKey{Key: row.Key, Epoch: row.Epoch}
	if row.State == ownership.SlotOwned {
		out.Owner = row.Owner
	}
	return out
}

func (t *storeTranslator) recordLeaseHolders(d ownership.Document) {
	leaseHolders := make(map[ownership.Peer]bool)
	for _, l := range d.Leases.Leases {
		if l.State == ownership.LeaseActive {
			leaseHolders[l.Holder] = true
		}
	}
	t.leaseHolders[d.Key.Service] = leaseHolders
}

func leasesMessage(d ownership.Document) routing.Message {
	out := &routing.Leases{Service: d.Key.Service, Revision: types.Revision(d.Leases.Epoch)}
	homes := d.Leases.Homes()
	for _, l := range d.Leases.Leases {
		out.Rows = append(out.Rows, routing.Lease{
			Target:      l.Target,
			VM:          l.Holder.VM,
			Incarnation: l.Holder.Incarnation,
			Epoch:       l.Epoch,
			Active:      l.State == ownership.LeaseActive,
			Home:        slices.Contains(homes, l.Target),
		})
	}
	return routing.Message{Kind: routing.KindLeases, Leases: out}
}
