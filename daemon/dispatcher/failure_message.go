package dispatcher

import "sequoiasail.example/types"

// failureMessages are the messages that callers receive with a failure code.
var failureMessages = map[types.Code]string{
	types.CodeOverloaded:        "too many requests wait for the target",
	types.CodeDeadlineExceeded:  "the request could not finish before its deadline",
	types.CodeNotLeaseHolder:    "this dispatcher does not hold the target's lease",
	types.CodeStaleEpoch:        "the request was routed by an older table",
	types.CodeQuarantined:       "targets that ran this request died",
	types.CodeRequestMemoryLost: "the request may have run before this dispatcher took the target over",
	types.CodeRequestIDReused:   "the identifier belongs to another request",
	types.CodeTargetFailed:      "the target failed while it may have run the request",
	types.CodeTargetRefused:     "the target refused the request",
	types.CodeShuttingDown:      "the dispatcher or the target is being stopped",
	types.CodeCancelled:         "the caller stopped waiting",
}

func failureMessage(code types.Code) string {
	if text, ok := failureMessages[code]; ok {
		return text
	}
	return "the request failed"
}
