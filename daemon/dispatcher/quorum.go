package dispatcher

import (
	"time"

	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// quorumCallTimeout bounds calls to other members of the quorum group. The renewal permit lasts 500 ms by default,
	// counted from the sending of the request: a reply that takes longer than the permit is useless.
	quorumCallTimeout = 300 * time.Millisecond
	// coreReplyTimeout bounds how long a net/rpc call waits for the ownership duty.
	coreReplyTimeout = 500 * time.Millisecond
)

// quorumCall is a call of another dispatcher that waits for the ownership core's reply. The ownership duty closes reply if it
// ends before it has taken the call.
type quorumCall struct {
	message ownership.Message
	reply   chan ownership.Action
}

// quorumService serves the net/rpc methods Vouch.*, the protocol of the quorum group, to other dispatchers. Each call
// runs on a goroutine of net/rpc.
type quorumService struct {
	manager *leaseManager
}

// Confirm reports whether this member of the quorum group knows newer documents than the caller.
func (s *quorumService) Confirm(args *peer.ConfirmRequest, out *peer.ConfirmAnswer) error {
	request, err := decodeConfirmRequest(args)
	if err != nil {
		return err
	}
	action, err := s.ask(ownership.Message{Kind: ownership.KindConfirmationRequest, Confirmation: request})
	if err != nil {
		return err
	}
	*out, err = encodeConfirmAnswer(action.ConfirmationReply)
	return err
}

// Install stores newer documents that the planner sends.
func (s *quorumService) Install(args *peer.InstallRequest, out *peer.InstallAnswer) error {
	documents, err := decodeDocuments(args.Documents)
	if err != nil {
		return err
	}
	action, err := s.ask(ownership.Message{Kind: ownership.KindInstall, Install: ownership.Install{
		Planner:   decodePeer(args.Planner),
		Member:    decodePeer(args.Member),
		Documents: documents,
	}})
	if err != nil {
		return err
	}
	*out = peer.InstallAnswer{
		Installed: true,
		Member:    encodePeer(action.InstallReply.Member),
		Versions:  encodeVersions(action.InstallReply.Versions),
	}
	return nil
}

// ask passes a message to the ownership core and waits for its reply.
func (s *quorumService) ask(m ownership.Message) (ownership.Action, error) {
	c := quorumCall{message: m, reply: make(chan ownership.Action, 1)}
	if err := s.manager.quorumCalls.TryPut(c); err != nil {
		return ownership.Action{}, err
	}
	timer := time.NewTimer(coreReplyTimeout)
	defer timer.Stop()
	select {
	case a, ok := <-c.reply:
		if !ok {
			return ownership.Action{}, types.NewFault(types.CodeShuttingDown, "the ownership duty has ended")
		}
		return a, nil
	case <-timer.C:
		return ownership.Action{}, types.NewFault(types.CodeTimeout, "the ownership duty did not reply")
	}
}
