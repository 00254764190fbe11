package dispatcher

import (
	"context"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// dispatchService serves the net/rpc methods Dispatch.* to gateways. Each call runs on a goroutine of net/rpc.
type dispatchService struct {
	worker *worker
}

// Do runs one request and waits for its outcome. A failure is reported in out, not as an error.
func (s *dispatchService) Do(args *peer.DoRequest, out *peer.DoAnswer) error {
	reply := make(chan peer.DoAnswer, 1)
	if err := s.worker.requests.TryPut(requestInput{request: args, reply: reply}); err != nil {
		*out = refusal(types.CodeOf(err))
		return nil
	}
	*out = <-reply
	return nil
}

// Cancel reports that the caller no longer waits for a request.
func (s *dispatchService) Cancel(args *peer.CancelRequest, _ *peer.Empty) error {
	// A cancellation is dropped when the ring is full: the target then finishes the request in vain.
	_ = s.worker.requests.TryPut(requestInput{cancel: args})
	return nil
}

// refusal returns the answer to a request that was not run.
func refusal(code types.Code) peer.DoAnswer {
	return peer.DoAnswer{
		Outcome: types.OutcomeNotRun,
		Failure: peer.Failure{Code: code, Message: failureMessage(code)},
	}
}

// memoryService serves the net/rpc methods Memory.*, copies of deduplication entries, to other dispatchers.
type memoryService struct {
	worker *worker
}

// Put stores a copy of an entry of another dispatcher's deduplication table.
func (s *memoryService) Put(args *peer.MemoryEntry, out *peer.MemoryAnswer) error {
	err := s.worker.controls.Put(context.Background(), workerControl{receivedCopy: args})
	out.Stored = err == nil
	return nil
}

// Handover stores the deduplication entries of keys that move here from another dispatcher, and the times since which
// they are complete.
func (s *memoryService) Handover(args *peer.HandoverRequest, out *peer.MemoryAnswer) error {
	err := s.worker.controls.Put(context.Background(), workerControl{receivedHandover: args})
	out.Stored = err == nil
	return nil
}

// controlService serves the net/rpc methods Control.* to other dispatchers.
type controlService struct {
	worker *worker
	placer *placer
}

// Report passes another dispatcher's load report to the planner.
func (s *controlService) Report(args *peer.LoadReport, _ *peer.Empty) error {
	s.placer.takeReport(args)
	return nil
}

// Targets records which targets have completed their warm-up, as seen by another dispatcher.
func (s *controlService) Targets(args *peer.TargetStates, _ *peer.Empty) error {
	_ = s.worker.controls.Put(context.Background(), workerControl{targetStates: args})
	return nil
}

// Quarantine records the deaths of targets that another dispatcher counted against a request fingerprint.
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
