package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// singleCore is one core whose documents, answers and clock the test supplies.
type singleCore struct {
	*Core
	is  *is.I
	now types.Instant
	out []Action
}

// newSingleCore returns a core at VM vm with an empty table copy.
func newSingleCore(t *testing.T) *singleCore {
	cfg := testConfig(config.ScopeDataCentre, 16, 2, "a")
	return &singleCore{Core: New(Self{Peer{"vm", 1}, "a"}, cfg), is: is.New(t), now: types.Instant(time.Hour)}
}

func (s *singleCore) step(m Message) { s.out = s.Step(s.now, m, s.out[:0]) }

func (s *singleCore) read(sentAt types.Instant, docs ...Document) {
	s.step(Message{Kind: KindStoreRead, Read: StoreRead{SentAt: sentAt, Documents: docs}})
}

// answer answers the grant among the last actions.
func (s *singleCore) answer(status CallStatus, token Token) {
	call, ok := s.find(ActGrant)
	s.is.True(ok)
	s.step(Message{Kind: KindCallResult, Call: CallResult{
		Target: call.Call.Target, Number: call.Call.Number, Status: status, Token: token, Incarnation: 1,
	}})
}

// find returns the first of the last actions of a kind.
func (s *singleCore) find(k ActionKind) (Action, bool) {
	for _, a := range s.out {
		if a.Kind == k {
			return a, true
		}
	}
	return Action{}, false
}

// leasesDocument returns a lease document in which holder has the lease of target t00 in epoch 1.
func leasesDocument(epoch types.Epoch, holder Peer) Document {
	row := func(name types.Target) Lease {
		return Lease{Target: name, DataCentre: "a", State: LeaseActive, Epoch: 1, Term: 1, Holder: holder}
	}
	return Document{Key: LeasesKey("mapa"), Store: types.Revision(epoch), Leases: &LeaseDocument{
		Header: Header{Epoch: epoch}, Scope: config.ScopeDataCentre, Leases: []Lease{row("t00")},
	}}
}

// slotsDocument returns a slot document in which target t00 owns all slots, in the given state.
func slotsDocument(epoch types.Epoch, state SlotState) Document {
	o := Ownership{State: state, Owner: "t00", Term: 1, Epoch: epoch}
	return Document{Key: SlotsKey("mapa", 0), Store: types.Revision(epoch), Slots: &SlotDocument{
		Header: Header{Epoch: epoch}, Runs: []Run{{First: 0, Count: 16, Ownership: o}},
	}}
}

// Guards against a first grant without a token, which could arrive after its revocation was waited out.
func TestFirstGrantNeedsToken(t *testing.T) {
	s := newSingleCore(t)
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

// Guards against a permit that counts from the arrival of the answer: it would outlast the wait after a revocation.
func TestLateStoreAnswer(t *testing.T) {
	s := newSingleCore(t)
	s.read(s.now.Add(-499*time.Millisecond), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	_, called := s.find(ActGrant)
	s.is.True(called)
	late := newSingleCore(t)
	late.read(late.now.Add(-500*time.Millisecond), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned))
	_, called = late.find(ActGrant)
	late.is.True(!called)
}

// Guards against a confirmation requested by an earlier incarnation of the process: its time is from another clock.
func TestReplyForFormerIncarnation(t *testing.T) {
	s := newSingleCore(t)
	member := Peer{"m", 1}
	group := Document{Key: GroupDocumentKey(GroupOf(config.ScopeDataCentre, "a")), Group: &GroupDocument{
		Header: Header{Epoch: 1}, Members: []Peer{member},
	}}
	s.read(s.now.Add(-time.Second), leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotOwned), group)
	s.out = s.Tick(s.now, s.out[:0])
	ask, _ := s.find(ActConfirmationRequest)
	reply := ConfirmationReply{
		Group: ask.Confirmation.Group, Asker: Peer{"vm", 0}, AskedAt: s.now, Member: member, Status: ConfirmationCurrent,
		Versions: ask.Confirmation.Versions,
	}
	s.step(Message{Kind: KindConfirmationReply, ConfirmationReply: reply})
	_, called := s.find(ActGrant)
	s.is.True(!called)
	reply.Asker = Peer{"vm", 1}
	s.step(Message{Kind: KindConfirmationReply, ConfirmationReply: reply})
	_, called = s.find(ActGrant)
	s.is.True(called)
}

// Guards against a release without the permit. Another dispatcher may hold the lease by then and have granted the
// slots again, so an old confirmation of a grant without them must not release them.
func TestReleaseNeedsPermit(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second} {
		s := newSingleCore(t)
		s.read(s.now, leasesDocument(1, Peer{"vm", 1}), slotsDocument(1, SlotFree))
		s.answer(CallStaleToken, 5)
		s.answer(CallAccepted, 6)
		s.now = s.now.Add(pause)
		s.step(Message{Kind: KindInstall, Install: Install{Documents: []Document{slotsDocument(3, SlotReleasing)}}})
		_, released := s.find(ActWrite)
		s.is.Equal(released, pause == 0)
	}
}

// Guards against a release while a grant is unconfirmed. A grant whose answer was lost may have been accepted, so the
// release must wait until a later grant is confirmed.
func TestReleaseNeedsLastGrantConfirmed(t *testing.T) {
	s := newSingleCore(t)
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

// Guards against allocations in the renewal of a lease. The path runs on every renewal of every lease, and garbage
// collection would show in the tail latency of requests.
func TestRenewalDoesNotAllocate(t *testing.T) {
	s := newSingleCore(t)
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
