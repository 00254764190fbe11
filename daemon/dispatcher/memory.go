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
	// copyTimeout bounds the wait for the second dispatcher. Both are in one region, milliseconds apart.
	copyTimeout = 100 * time.Millisecond
	// noticeTimeout bounds announcements, which are repeated by the next event if they are lost.
	noticeTimeout = 200 * time.Millisecond
)

// peerSet is the set of live dispatchers as this one knows them.
type peerSet struct {
	members []member
	// centres holds the data centre of each target.
	centres map[types.TargetID]types.DataCentre
}

type member struct {
	vm         types.VM
	dataCentre types.DataCentre
}

// second returns the link to the dispatcher that would take the target over, so that it finds the copies there.
func (w *worker) second(id types.TargetID) *peer.Link {
	if w.peers == nil {
		return nil
	}
	var best *peer.Link
	var bestScore uint64
	for _, m := range w.peers.members {
		link := w.links[m.vm]
		if m.vm == w.vm || link == nil || m.dataCentre != w.peers.centres[id] {
			continue
		}
		score := types.RendezvousScore(id.String(), string(m.vm))
		if best == nil || score > bestScore {
			best, bestScore = link, score
		}
	}
	return best
}

// copyEntry sends an entry to the second dispatcher. Only entries that precede a send wait for the answer.
func (w *worker) copyEntry(a *dispatch.Action) {
	p := w.payloads[a.Handle]
	if p == nil || p.request == nil {
		return
	}
	id := types.TargetID{Service: p.request.Service, Target: p.request.Target}
	link := w.second(id)
	wait := a.Entry.State == dispatch.EntrySent
	if link == nil {
		w.copyFailed(a.Handle, wait)
		return
	}
	reply := &peer.MemoryAnswer{}
	handle := a.Handle
	err := link.TryCall(&peer.Call{
		Method:  peer.MethodMemoryPut,
		Args:    memoryEntry(a.Entry, p.answer),
		Reply:   reply,
		Timeout: copyTimeout,
		Done: func(c *peer.Call) {
			if wait {
				w.copied(handle, c.Err == nil && reply.Stored)
			}
		},
	})
	if err != nil {
		w.copyFailed(handle, wait)
	}
}

func (w *worker) copyFailed(handle dispatch.Handle, wait bool) {
	if wait {
		w.failed = append(w.failed, handle)
	}
}

// copied runs on a link's duty.
func (w *worker) copied(handle dispatch.Handle, stored bool) {
	message := dispatch.Message{Kind: dispatch.MessageCopyDone, Handle: handle, Stored: stored}
	_ = w.controls.Put(context.Background(), workerControl{messages: []dispatch.Message{message}})
}

func memoryEntry(e dispatch.Entry, a *answer) *peer.MemoryEntry {
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
	if a != nil && e.State == dispatch.EntryAnswered {
		out.Status = a.status
		out.Header = a.header
		out.Body = a.body
	}
	return out
}

// storeCopy keeps an entry that another dispatcher sent.
func (w *worker) storeCopy(ctx context.Context, e *peer.MemoryEntry) {
	w.next++
	handle := w.next
	w.payloads[handle] = &payload{answer: &answer{status: e.Status, header: e.Header, body: e.Body}}
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

// announce tells all dispatchers of a quarantined fingerprint.
func (w *worker) announce(a *dispatch.Action) {
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
