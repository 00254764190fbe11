package dispatcher

import (
	"context"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// dispatchService serves Dispatch.* to gateways. Its methods run on goroutines of net/rpc.
type dispatchService struct {
	worker *worker
}

// Do runs one request. A failure is part of the answer.
func (s *dispatchService) Do(args *peer.DoRequest, out *peer.DoAnswer) error {
	reply := make(chan peer.DoAnswer, 1)
	if err := s.worker.requests.TryPut(inbound{request: args, reply: reply}); err != nil {
		*out = refusal(types.CodeOf(err))
		return nil
	}
	*out = <-reply
	return nil
}

// Cancel tells that the caller no longer waits.
func (s *dispatchService) Cancel(args *peer.CancelRequest, _ *peer.Empty) error {
	// A cancellation that finds the ring full costs the target some work and nothing else.
	_ = s.worker.requests.TryPut(inbound{cancel: args})
	return nil
}

func refusal(code types.Code) peer.DoAnswer {
	return peer.DoAnswer{
		Outcome: types.OutcomeNotRun,
		Failure: peer.Failure{Code: code, Message: explain(code)},
	}
}

// memoryService serves Memory.* to other dispatchers.
type memoryService struct {
	worker *worker
}

// Put keeps a copy of an entry of another dispatcher's deduplication table.
func (s *memoryService) Put(args *peer.MemoryEntry, out *peer.MemoryAnswer) error {
	err := s.worker.controls.Put(context.Background(), workerControl{copied: args})
	out.Stored = err == nil
	return nil
}

// Handover takes what another dispatcher remembers of keys that move here.
func (s *memoryService) Handover(args *peer.HandoverRequest, out *peer.MemoryAnswer) error {
	err := s.worker.controls.Put(context.Background(), workerControl{handed: args})
	out.Stored = err == nil
	return nil
}

// controlService serves Control.* to other dispatchers.
type controlService struct {
	worker *worker
	placer *placer
}

// Report takes another dispatcher's loads.
func (s *controlService) Report(args *peer.LoadReport, _ *peer.Empty) error {
	s.placer.takeReport(args)
	return nil
}

// Targets learns which targets run at full load.
func (s *controlService) Targets(args *peer.TargetStates, _ *peer.Empty) error {
	_ = s.worker.controls.Put(context.Background(), workerControl{states: args})
	return nil
}

// Quarantine learns of a fingerprint that was in flight when targets died.
func (s *controlService) Quarantine(args *peer.QuarantineNotice, _ *peer.Empty) error {
	message := dispatch.Message{Kind: dispatch.MessageQuarantined, Quarantine: dispatch.Quarantine{
		From:        args.From,
		Service:     args.Service,
		Fingerprint: dispatch.Fingerprint(args.Fingerprint),
		Deaths:      args.Deaths,
		AgeMs:       args.AgeMs,
	}}
	_ = s.worker.controls.Put(context.Background(), workerControl{messages: []dispatch.Message{message}})
	return nil
}
