package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// copyTimeout bounds the wait for the second dispatcher, which is in the same region, milliseconds away.
	copyTimeout = 100 * time.Millisecond
	// noticeTimeout bounds the calls that announce target states and deaths. A lost call is not repeated: the next load
	// report or the next death sends the newer state.
	noticeTimeout = 200 * time.Millisecond
)

// peerSet is the set of registered dispatchers, with the data centres of all targets.
type peerSet struct {
	members []member
	// dataCentres is the data centre of each target.
	dataCentres map[types.TargetID]types.DataCentre
}

// member is a registered dispatcher.
type member struct {
	vm         types.VM
	dataCentre types.DataCentre
}

// secondDispatcherLink returns the link to the second dispatcher of a target, or nil if there is none. The second
// dispatcher is the one that would take the target over. It stores copies of the deduplication entries, so that it has
// them after a takeover.
func (w *worker) secondDispatcherLink(id types.TargetID) *peer.Link {
	if w.peers == nil {
		return nil
	}
	var best *peer.Link
	var bestScore uint64
	for _, m := range w.peers.members {
		link := w.links[m.vm]
		if m.vm == w.vm || link == nil || m.dataCentre != w.peers.dataCentres[id] {
			continue
		}
		score := types.RendezvousScore(id.String(), string(m.vm))
		if best == nil || score > bestScore {
			best, bestScore = link, score
		}
	}
	return best
}

// sendCopy sends a deduplication entry to the second dispatcher. The dispatch core waits for the result only if the
// entry has state EntrySent, because it does not send the request before that.
func (w *worker) sendCopy(a *dispatch.Action) {
	p := w.payloads.byHandle[a.Handle]
	if p == nil || p.request == nil {
		return
	}
	id := types.TargetID{Service: p.request.Service, Target: p.request.Target}
	link := w.secondDispatcherLink(id)
	wait := a.Entry.State == dispatch.EntrySent
	if link == nil {
		w.failCopy(a.Handle, wait)
		return
	}
	reply := &peer.MemoryAnswer{}
	handle := a.Handle
	err := link.TryCall(&peer.Call{
		Method:  peer.MethodMemoryPut,
		Args:    encodeEntry(a.Entry, p.targetResponse),
		Reply:   reply,
		Timeout: copyTimeout,
		Done: func(c *peer.Call) {
			if wait {
				w.reportCopyDone(handle, c.Err == nil && reply.Stored)
			}
		},
	})
	if err != nil {
		w.failCopy(handle, wait)
	}
}

// failCopy records that a copy could not be queued, if the dispatch core waits for it.
func (w *worker) failCopy(handle dispatch.Handle, wait bool) {
	if wait {
		w.failedCopies = append(w.failedCopies, handle)
	}
}

// reportCopyDone tells the dispatch duty whether a copy was stored. It runs on a link's duty.
func (w *worker) reportCopyDone(handle dispatch.Handle, stored bool) {
	message := dispatch.Message{Kind: dispatch.MessageCopyDone, Handle: handle, Stored: stored}
	_ = w.controls.Put(context.Background(), workerControl{messages: []dispatch.Message{message}})
}

func encodeEntry(e dispatch.Entry, r *targetResponse) *peer.MemoryEntry {
	out := &peer.MemoryEntry{
		Service:     e.Service,
		Target:      e.Target,
		Key:         e.Key,
		Caller:      e.Caller,
		ID:          e.ID,
		Fingerprint: uint64(e.Fingerprint),
		Class:       e.Class,
		State:       uint8(e.State),
	}
	if r != nil && e.State == dispatch.EntryAnswered {
		out.Status = r.status
		out.Header = r.header
		out.Body = r.body
	}
	return out
}

// storeCopy stores a deduplication entry that another dispatcher sent.
func (w *worker) storeCopy(ctx context.Context, e *peer.MemoryEntry) {
	w.lastHandle++
	handle := w.lastHandle
	w.payloads.add(handle, &payload{targetResponse: &targetResponse{status: e.Status, header: e.Header, body: e.Body}})
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageCopyStored, Handle: handle, Entry: dispatch.Entry{
		Service:     e.Service,
		Target:      e.Target,
		Key:         e.Key,
		Caller:      e.Caller,
		ID:          e.ID,
		Fingerprint: dispatch.Fingerprint(e.Fingerprint),
		Class:       e.Class,
		State:       dispatch.EntryState(e.State),
	}})
}

// announceQuarantine sends the number of deaths counted against a fingerprint to all other dispatchers.
func (w *worker) announceQuarantine(a *dispatch.Action) {
	w.log.LogDecision(telemetry.Decision{Kind: "quarantine", Service: string(a.Quarantine.Service), Detail: "announced"})
	notice := &peer.QuarantineNotice{
		From:        w.vm,
		Service:     a.Quarantine.Service,
		Fingerprint: uint64(a.Quarantine.Fingerprint),
		Deaths:      a.Quarantine.Deaths,
		AgeMs:       a.Quarantine.AgeMs,
	}
	for _, link := range w.links {
		_ = link.TryCall(&peer.Call{
			Method:  peer.MethodQuarantine,
			Args:    notice,
			Reply:   &peer.Empty{},
			Timeout: noticeTimeout,
			Done:    func(*peer.Call) {},
		})
	}
}
