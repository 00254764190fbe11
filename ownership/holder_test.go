package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// solo is one core whose documents, answers and clock the test writes itself.
type solo struct {
	*Core
	is  *is.I
	now types.Instant
	out []Action
}

// newSolo returns a core that holds the lease of target t00 in epoch 1.
func newSolo(t *testing.T) *solo {
	cfg := testConfig(config.ScopeDataCentre, 16, 2, "a")
	return &solo{Core: New(Self{Peer{"vm", 1}, "a"}, cfg), is: is.New(t), now: types.Instant(time.Hour)}
}

func (s *solo) step(m Message) { s.out = s.Step(s.now, m, s.out[:0]) }

func (s *solo) read(sentAt types.Instant, docs ...Document) {
	s.step(Message{Kind: KindStoreRead, Read: StoreRead{SentAt: sentAt, Documents: docs}})
}

// answer answers the last call to a target.
func (s *solo) answer(status CallStatus, token Token) {
	call, ok := s.find(ActGrant)
	s.is.True(ok)
	s.step(Message{Kind: KindCallResult, Call: CallResult{
		Target: call.Call.Target, Number: call.Call.Number, Status: status, Token: token, Incarnation: 1,
	}})
}

func (s *solo) find(k ActionKind) (Action, bool) {
	for _, a := range s.out {
		if a.Kind == k {
			return a, true
		}
	}
	return Action{}, false
}

func leasesDocument(epoch types.Epoch, holder Peer) Document {
	row := func(name types.Target) Lease {
		return Lease{Target: name, DataCentre: "a", State: LeaseActive, Epoch: 1, Term: 1, Holder: holder}
	}
	return Document{Key: LeasesKey("mapa"), Store: types.Revision(epoch), Leases: &LeaseDocument{
		Header: Header{Epoch: epoch}, Scope: config.ScopeDataCentre, Leases: []Lease{row("t00")},
	}}
}

func slotsDocument(epoch types.Epoch, state SlotState) Document {
	o := Ownership{State: state, Owner: "t00", Term: 1, Epoch: epoch}
	return Document{Key: SlotsKey("mapa", 0), Store: types.Revision(epoch), Slots: &SlotDocument{
		Header: Header{Epoch: epoch}, Runs: []Run{{First: 0, Count: 16, Ownership: o}},
	}}
}

// A first grant without a token could arrive after its revocation was waited out.
func TestFirstGrantNeedsToken(t *testing.T) {
	s := newSolo(t)
	s.read(s.now, leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	call, _ := s.find(ActGrant)
	s.is.Equal(call.Call.Token, Token(0))
	_, serving := s.find(ActServe)
	s.is.True(!serving)
	s.answer(CallStaleToken, 5)
	call, _ = s.find(ActGrant)
	s.is.Equal(call.Call.Token, Token(5))
	s.answer(CallAccepted, 6)
	serve, serving := s.find(ActServe)
	s.is.True(serving)
	s.is.Equal(serve.Serve.ValidUntil, s.now.Add(500*time.Millisecond)) // the permit ends before the grant
}

// A permit that counted from the answer's arrival would outlast the wait after a revocation.
func TestLateStoreAnswer(t *testing.T) {
	s := newSolo(t)
	s.read(s.now.Add(-499*time.Millisecond), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	_, called := s.find(ActGrant)
	s.is.True(called)
	late := newSolo(t)
	late.read(late.now.Add(-500*time.Millisecond), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	_, called = late.find(ActGrant)
	late.is.True(!called)
}

// A confirmation that a former process of the VM asked for has another clock's instant.
func TestReplyForFormerIncarnation(t *testing.T) {
	s := newSolo(t)
	member := Peer{"m", 1}
	group := Document{Key: GroupDocumentKey(GroupOf(config.ScopeDataCentre, "a")), Group: &GroupDocument{
		Header: Header{Epoch: 1}, Members: []Peer{member},
	}}
	s.read(s.now.Add(-time.Second), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned), group)
	s.out = s.Tick(s.now, s.out[:0])
	ask, _ := s.find(ActVouch)
	reply := VouchReply{
		Group: ask.Vouch.Group, Asker: Peer{"vm", 0}, AskedAt: s.now, Member: member, Status: VouchSame,
		Versions: ask.Vouch.Versions,
	}
	s.step(Message{Kind: KindVouchReply, VouchReply: reply})
	_, called := s.find(ActGrant)
	s.is.True(!called)
	reply.Asker = Peer{"vm", 1}
	s.step(Message{Kind: KindVouchReply, VouchReply: reply})
	_, called = s.find(ActGrant)
	s.is.True(called)
}

// Without the permit the lease may be with another dispatcher that has granted the slots again: the old confirmation
// of a grant without them must not release them.
func TestReleaseNeedsPermit(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second} {
		s := newSolo(t)
		s.read(s.now, leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotFree))
		s.answer(CallStaleToken, 5)
		s.answer(CallAccepted, 6)
		s.now = s.now.Add(pause)
		s.step(Message{Kind: KindInstall, Install: Install{Documents: []Document{slotsDocument(3, SlotReleasing)}}})
		_, released := s.find(ActWrite)
		s.is.Equal(released, pause == 0)
	}
}

// A grant whose answer was lost may have been accepted: a release must wait until a later grant is confirmed.
func TestReleaseNeedsLastGrantConfirmed(t *testing.T) {
	s := newSolo(t)
	s.read(s.now, leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotFree))
	s.answer(CallStaleToken, 5)
	s.answer(CallAccepted, 6)
	s.step(Message{Kind: KindDrained, Drained: Drained{Target: types.TargetID{Service: "mapa", Target: "t00"}, Number: 1}})
	s.step(Message{Kind: KindInstall, Install: Install{Documents: []Document{slotsDocument(2, SlotOwned)}}})
	_, granted := s.find(ActGrant)
	s.is.True(granted) // its answer never comes
	s.now = s.now.Add(200 * time.Millisecond)
	s.step(Message{Kind: KindInstall, Install: Install{Documents: []Document{slotsDocument(3, SlotReleasing)}}})
	_, released := s.find(ActWrite)
	s.is.True(!released)
	s.answer(CallAccepted, 7)
	_, released = s.find(ActWrite)
	s.is.True(released)
}

// The steady state runs on every renewal of every lease; garbage there would show in the tail latency of requests.
func TestRenewalDoesNotAllocate(t *testing.T) {
	s := newSolo(t)
	s.read(s.now, leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	s.answer(CallStaleToken, 5)
	s.answer(CallAccepted, 6)
	token := Token(6)
	n := testing.AllocsPerRun(100, func() {
		s.now = s.now.Add(200 * time.Millisecond)
		s.read(s.now)
		for _, a := range s.out {
			if a.Kind == ActRenew {
				token++
				s.out = s.Step(s.now, Message{Kind: KindCallResult, Call: CallResult{
					Target: a.Call.Target, Number: a.Call.Number, Status: CallAccepted, Token: token, Incarnation: 1,
				}}, s.out[:0])
				break
			}
		}
		s.out = s.Tick(s.now, s.out[:0])
	})
	s.is.Equal(n, 0.0)
	s.is.True(token > 50)
}
