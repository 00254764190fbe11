package config

import "strconv"

// Question describes one field of Answers. The questionnaire on a terminal and the JSON Schema are made from it.
type Question struct {
	// Path of the field; [] stands for any element of a list.
	Path string
	// Text is the question.
	Text string
	// Unit of the value, or "".
	Unit string
	// Default as it would be typed, or "" when an answer is required. DefaultNote replaces it where the default is
	// computed.
	Default     string
	DefaultNote string
	// Reason says what the answer is used for.
	Reason string
	// Options lists the accepted values of an enumeration. Empty for other fields.
	Options []string
	// Low and High bound numbers. Both are 0 for other types.
	Low, High int64
}

// Questions returns all questions in the order in which they are asked.
func Questions() []Question {
	return append(append(generalQuestions(), serviceQuestions()...), targetQuestions()...)
}

// QuestionAt returns the question of the field with the given path pattern, for example services[].cutOff.
func QuestionAt(pattern string) (Question, bool) {
	for _, q := range Questions() {
		if q.Path == pattern {
			return q, true
		}
	}
	return Question{}, false
}

// number formats n as it would be typed.
func number(n int64) string { return strconv.FormatInt(n, 10) }

// generalQuestions returns the questions about the installation and its data centres.
func generalQuestions() []Question {
	return []Question{
		{
			Path: "team", Text: "Which team answers?",
			Reason: "Named in listings, so that operators know whom to ask.",
		},
		{
			Path: "recoverWithinMs", Text: "How soon must a key be served again after a VM or target is lost?", Unit: "ms",
			Default: number(defaultRecoverMs), Low: 1, High: maxTimingMs,
			Reason: "Checked against the time that a takeover takes at least, about 1.9 s.",
		},
		{
			Path: "betweenRegionsMs", Text: "How long does a packet take between the regions?", Unit: "ms",
			DefaultNote: "none with one region", High: maxLinkMs,
			Reason: "Deadlines and takeovers must leave time for it where there are several regions.",
		},
		{
			Path: "dataCentres[].name", Text: "What is the data centre called?",
			Reason: "Targets, VMs and operators' commands refer to it.",
		},
		{
			Path: "dataCentres[].region", Text: "Which region is it in?",
			Reason: "Data centres of one region are milliseconds apart.",
		},
		{
			Path: "dataCentres[].oneWayMs", Text: "How long does a packet take to the other data centres of the region?", Unit: "ms",
			Default: number(defaultOneWayMs), High: maxLinkMs,
			Reason: "Deadlines and takeovers must leave time for it.",
		},
		{
			Path: "dataCentres[].callerMs", Text: "How long does a packet take between callers and the data centre?", Unit: "ms",
			Default: number(defaultCallerMs), High: maxLinkMs,
			Reason: "Taken off the time that callers wait.",
		},
		{
			Path: "dataCentres[].vms", Text: "How many entry VMs does it have?", Unit: "VMs",
			Default: number(defaultVMs), Low: 1, High: maxVMs,
			Reason: "A cut-off data centre needs a majority of its VMs to keep its keys.",
		},
	}
}

// serviceQuestions returns the questions about a service and its request classes.
func serviceQuestions() []Question {
	return []Question{
		{
			Path: "services[].name", Text: "What is the service called?",
			Reason: "Callers put it into the URL: /v1/NAME/KEY.",
		},
		{
			Path: "services[].keyed", Text: "Does each key have a sole owner among the targets?", Default: "false",
			Reason: "Then requests for a key go to its owner only; otherwise any target may answer.",
		},
		{
			Path: "services[].tableSlots", Text: "Into how many slots are the keys divided?", Unit: "slots",
			Default: number(defaultTableSlots), DefaultNote: number(defaultTableSlots) + " when keyed", Low: 1, High: maxTableSlots,
			Reason: "Keys move in slots. A later change moves every key.",
		},
		{
			Path: "services[].checksGrants", Text: "Do the targets refuse requests without a valid grant?", Default: "false",
			Reason: "Targets that do not check are protected by waiting until old grants have ended.",
		},
		{
			Path: "services[].cutOff", Text: "What should a data centre do with its keys when it is cut off from the others?",
			Default: string(CutOffKeep), Options: []string{string(CutOffKeep), string(CutOffMove)},
			Reason: "keep: it goes on serving them, and if it is lost they wait for its return. move: it stops within half a " +
				"second, and they are served elsewhere.",
		},
		{
			Path: "services[].readOwnWrites", Text: "Must callers see at once what they wrote before?", Default: "false",
			Reason: "Then lookups are never sent to a target that may lag behind.",
		},
		{
			Path: "services[].staleMs", Text: "How old may the state behind a lookup's answer be?", Unit: "ms",
			Default: "0", High: maxDurationMs,
			Reason: "Above 0, a slow lookup of a service without keys is also sent to a second target.",
		},
		{
			Path: "services[].extraLoadPercent", Text: "How much extra load from repeated requests do the targets tolerate?",
			Unit: "percent", Default: number(defaultExtraPercent), High: maxExtraPercent,
			Reason: "Bounds retries and hedged requests.",
		},
		{
			Path: "services[].coldStartMs", Text: "How long does a freshly started target need until it carries full load?", Unit: "ms",
			Default: number(defaultColdStartMs), High: maxColdStartMs,
			Reason: "Its limit rises from one request to all slots over this time.",
		},
		{
			Path: "services[].maxBodyBytes", Text: "How large is the largest request body?", Unit: "bytes",
			Default: number(defaultMaxBodyBytes), Low: 1, High: LargestBodyBytes,
			Reason: "Larger bodies are refused; bodies that wait use memory.",
		},
		{
			Path: "services[].requests[].class", Text: "Which class of requests is this?",
			Options: []string{"lookup", "order", "confirmation"},
			Reason:  "lookup: GET, may run twice. order: may wait, never lost or doubled. confirmation: settles payment.",
		},
		{
			Path: "services[].requests[].lateAfterMs", Text: "After how long is an answer of no use to the caller?", Unit: "ms",
			Low: 1, High: maxDurationMs,
			Reason: "The time that a request gets when its caller names none.",
		},
		{
			Path: "services[].requests[].waitMs", Text: "How long may a request wait for a busy target?", Unit: "ms",
			DefaultNote: "what lateAfterMs leaves", Low: 0, High: maxDurationMs,
			Reason: "Bounds the queue: a request that would wait longer is refused at once, not run.",
		},
		{
			Path: "services[].requests[].typicalMs", Text: "How long does a target take to answer one request?", Unit: "ms",
			Default: number(defaultTypicalMs), Low: 1, High: maxDurationMs,
			Reason: "Turns waiting time into a number of requests.",
		},
		{
			Path: "services[].requests[].peakPerSecond", Text: "How many of these requests arrive at peak?", Unit: "requests/s",
			Default: "0", High: maxRate,
			Reason: "Checked against the targets' slots. 0 means not known: no check.",
		},
		{
			Path: "services[].requests[].mayRunTwice", Text: "Is it harmless when a request runs twice?", Default: "false",
			Reason: "True for lookups only; other requests run at most once.",
		},
		{
			Path: "services[].requests[].resendWithinMs", Text: "For how long may a caller send the same request again?", Unit: "ms",
			DefaultNote: number(defaultResendMs) + ", lookups: none", Low: 0, High: maxRememberMs,
			Reason: "Request identifiers and answers are kept that long.",
		},
	}
}

// targetQuestions returns the questions about the targets of a service.
func targetQuestions() []Question {
	return []Question{
		{
			Path: "services[].target.slots", Text: "How many requests does a target run at once?", Unit: "requests",
			Low: 1, High: maxTargetSlots,
			Reason: "A target never gets more.",
		},
		{
			Path: "services[].target.connections", Text: "How many connections does a target accept?", Unit: "connections",
			Low: 2, High: maxConnections,
			Reason: "Must be above the slots: a health check needs one as well.",
		},
		{
			Path: "services[].targets[].name", Text: "What is the target called?",
			Reason: "Unique within its service; operators' commands refer to SERVICE/NAME.",
		},
		{
			Path: "services[].targets[].dataCentre", Text: "Which data centre is it in?",
			Reason: "Its dispatcher is a VM of the same data centre.",
		},
		{
			Path: "services[].targets[].address", Text: "What is its IP number and port?",
			Reason: "Targets are reached by IP number, without name service.",
		},
		{
			Path: "services[].targets[].slots", Text: "How many requests does this target run at once?", Unit: "requests",
			DefaultNote: "target.slots", Low: 1, High: maxTargetSlots,
			Reason: "Only where it differs from the others.",
		},
		{
			Path: "services[].targets[].connections", Text: "How many connections does this target accept?", Unit: "connections",
			DefaultNote: "target.connections", Low: 2, High: maxConnections,
			Reason: "Only where it differs from the others.",
		},
		{
			Path: "services[].targets[].weight", Text: "What is its capacity relative to the others?",
			Default: number(defaultWeight),
			Reason:  "A target with weight 2 gets twice as many keys as one with weight 1.",
		},
		{
			Path: "services[].spareTargets", Text: "How many targets may be missing at peak load?", Unit: "targets",
			DefaultNote: "a quarter of the targets", High: maxTargetSlots,
			Reason: "Bounds how many stragglers are left out at a time; the others must carry the peak.",
		},
		{
			Path: "services[].dataCentreOutAtPeak", Text: "May a whole data centre be taken out at peak load?", Default: "false",
			Reason: "Then the targets of the others must carry the peak.",
		},
	}
}
