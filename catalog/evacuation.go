package catalog

import (
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// returnLimit is how long after the end of an evacuation the targets of the data centre are used at the latest, also if the store
// does not answer.
const returnLimit = 3 * time.Second

// SetEvacuated records whether a data centre is out of service, as learnt at now.
func (r *Registry) SetEvacuated(now types.Instant, d types.DataCentre, outOfService bool) {
	r.era.missing = slices.DeleteFunc(r.era.missing, func(m types.DataCentre) bool { return m == d })
	if outOfService {
		r.evacuated[d] = true
		delete(r.returning, d)
	} else {
		r.endEvacuation(now, d)
	}
}

// ReplaceEvacuations sets the complete list of data centres that are out of service, as learnt at now. After the store went back to a
// snapshot, those that are missing are kept for a grace period.
func (r *Registry) ReplaceEvacuations(now types.Instant, list []types.DataCentre) {
	r.era.missing = nil
	for d := range r.evacuated {
		switch {
		case slices.Contains(list, d):
		case r.era.keepsEvacuations:
			r.era.missing = append(r.era.missing, d)
		default:
			r.endEvacuation(now, d)
		}
	}
	for _, d := range list {
		r.evacuated[d] = true
		delete(r.returning, d)
	}
}

// endEvacuation puts a data centre back into service once the registrations are known as of now.
func (r *Registry) endEvacuation(now types.Instant, d types.DataCentre) {
	if r.evacuated[d] {
		delete(r.evacuated, d)
		r.returning[d] = now
	}
}

// RegistrationsCurrent records that all changes of the registrations before the given time are known, and puts the data centres back
// into service whose evacuation had ended by then. It reports whether there were any. Targets may turn cold while they are out of
// service, and the end of the evacuation may be known earlier than that.
func (r *Registry) RegistrationsCurrent(at types.Instant) bool { return r.returnEndedBy(at) }

// returnEndedBy puts the data centres back into service whose evacuation had ended by the given time, and reports whether there were
// any.
func (r *Registry) returnEndedBy(at types.Instant) bool {
	before := len(r.returning)
	maps.DeleteFunc(r.returning, func(_ types.DataCentre, since types.Instant) bool { return !at.Before(since) })
	return len(r.returning) < before
}

// outOfService reports whether the targets of a data centre get no requests.
func (r *Registry) outOfService(d types.DataCentre) bool {
	_, returning := r.returning[d]
	return returning || r.evacuated[d]
}
