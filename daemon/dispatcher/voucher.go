package dispatcher

import (
	"time"

	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// vouchTimeout bounds the calls of the quorum group; an answer older than the permit is useless.
	vouchTimeout = 300 * time.Millisecond
	// voteWait bounds how long a front end waits for the ownership duty.
	voteWait = 500 * time.Millisecond
)

// ballot is a call of another dispatcher that waits for the ownership core's answer.
type ballot struct {
	message ownership.Message
	reply   chan ownership.Action
}

// vouchService serves Vouch.* to other dispatchers. Its methods run on goroutines of net/rpc.
type vouchService struct {
	manager *leaseManager
}

// Confirm answers whether this quorum group member knows newer leases.
func (s *vouchService) Confirm(args *peer.ConfirmRequest, out *peer.ConfirmAnswer) error {
	request, err := decodeConfirm(args)
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

// Install takes newer documents from the planner.
func (s *vouchService) Install(args *peer.InstallRequest, out *peer.InstallAnswer) error {
	documents, err := decodeDocuments(args.Documents)
	if err != nil {
		return err
	}
	action, err := s.ask(ownership.Message{Kind: ownership.KindInstall, Install: ownership.Install{
		Planner:   decodeRun(args.Planner),
		Member:    decodeRun(args.Member),
		Documents: documents,
	}})
	if err != nil {
		return err
	}
	*out = peer.InstallAnswer{
		Installed: true,
		Member:    encodeRun(action.InstallReply.Member),
		Versions:  encodeVersions(action.InstallReply.Versions),
	}
	return nil
}

func (s *vouchService) ask(m ownership.Message) (ownership.Action, error) {
	b := ballot{message: m, reply: make(chan ownership.Action, 1)}
	if err := s.manager.ballots.TryPut(b); err != nil {
		return ownership.Action{}, err
	}
	timer := time.NewTimer(voteWait)
	defer timer.Stop()
	select {
	case a := <-b.reply:
		return a, nil
	case <-timer.C:
		return ownership.Action{}, types.NewFault(types.CodeTimeout, "the ownership duty gave no answer")
	}
}
