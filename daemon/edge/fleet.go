package edge

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// applyOwn takes changes of the list of VMs and of the role of the keeper.
func (k *knowledge) applyOwn(ctx context.Context, u update) {
	if u.snapshot {
		clear(k.vms)
		keeper := keeperSeen{revision: u.revision}
		for _, e := range u.entries {
			if e.Key == keeperKey {
				keeper = k.readKeeper(e)
				continue
			}
			k.applyOwnEntry(e)
		}
		k.seeKeeper(keeper)
	}
	for _, e := range u.events {
		switch {
		case e.Key == keeperKey && e.Deleted:
			k.seeKeeper(keeperSeen{revision: e.Revision})
		case e.Key == keeperKey:
			k.seeKeeper(k.readKeeper(e.Entry))
		case e.Deleted:
			delete(k.vms, types.VM(strings.TrimPrefix(e.Key, vmPrefix)))
		default:
			k.applyOwnEntry(e.Entry)
		}
	}
	k.tellVMs(ctx)
}

func (k *knowledge) seeKeeper(s keeperSeen) {
	k.keeperVM = s.entry.VM
	s.fleet = len(k.vms)
	s.rank = k.rank(slices.Collect(maps.Values(k.vms)))
	k.seen = &s
	k.tellSession()
}

// tellSession passes on who the keeper is and whether this VM watches, once the store has told.
func (k *knowledge) tellSession() {
	if k.seen == nil {
		return
	}
	k.seen.watches = k.watching.on
	_ = k.session.Replace(*k.seen)
}

func (k *knowledge) readKeeper(e store.Entry) keeperSeen {
	entry, err := decodeJSON[keeperEntry](e.Key, e.Value)
	if err != nil {
		k.log.Warn("entry ignored", log.Fields{"key": e.Key, "error": err.Error()})
	}
	return keeperSeen{entry: entry, known: err == nil, revision: e.Revision}
}

func (k *knowledge) applyOwnEntry(e store.Entry) {
	if !strings.HasPrefix(e.Key, vmPrefix) {
		return
	}
	m, err := decodeJSON[vmEntry](e.Key, e.Value)
	if err != nil {
		k.log.Warn("entry ignored", log.Fields{"key": e.Key, "error": err.Error()})
		return
	}
	k.vms[m.VM] = m
}

func (k *knowledge) vmNames() []types.VM {
	return slices.Sorted(maps.Keys(k.vms))
}

func (k *knowledge) tellVMs(ctx context.Context) {
	names := k.vmNames()
	var neighbours []types.VM
	for _, m := range k.neighbours() {
		neighbours = append(neighbours, m.VM)
	}
	var list []vmEntry
	for _, name := range names {
		list = append(list, k.vms[name])
	}
	k.pass(ctx, k.admission, admission.Peers{VMs: names, Neighbours: neighbours})
	_ = k.peers.Replace(fleet{vms: list, keeper: k.keeperVM})
}
