package edge

import (
	"fmt"
	"maps"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
)

// Kinds of store entries, as labelled in the metrics.
const (
	registrationKind  = "registration"
	configurationKind = "configuration"
	vmKind            = "vm"
	coordinatorKind   = "coordinator"
)

// maxLoggedText bounds the key and the fault in the log line of an invalid entry, in bytes.
const maxLoggedText = 400

// invalidEntries logs and counts the entries of the store that can't be used, once for each change of their fault. It belongs
// to the store cache.
type invalidEntries struct {
	log      *telemetry.Log
	counters map[string]*metrics.Counter
	// faults holds the fault of each invalid entry by its key.
	faults map[string]string
}

func newInvalidEntries(l *telemetry.Log, m *telemetry.Metrics) *invalidEntries {
	i := &invalidEntries{log: l, counters: make(map[string]*metrics.Counter), faults: make(map[string]string)}
	for _, kind := range []string{registrationKind, configurationKind, vmKind, coordinatorKind} {
		i.counters[kind] = m.Counter(fmt.Sprintf("sail_invalid_entries_total{entry=%q}", kind))
	}
	return i
}

// add records an entry that is ignored because of err, and logs it unless its fault was known.
func (i *invalidEntries) add(kind string, e store.Entry, err error) {
	fault := fmt.Sprintf("%.*s", maxLoggedText, err.Error())
	if i.faults[e.Key] == fault {
		return
	}
	i.faults[e.Key] = fault
	i.counters[kind].Inc()
	i.log.Warn(kind+" ignored", log.Fields{
		"key": fmt.Sprintf("%.*s", maxLoggedText, e.Key), "revision": e.Revision, "bytes": len(e.Value), "error": fault,
	})
}

// remove forgets an entry that is valid now or was deleted.
func (i *invalidEntries) remove(key string) { delete(i.faults, key) }

// retain forgets the entries of a prefix that a complete list no longer has.
func (i *invalidEntries) retain(prefix string, list []store.Entry) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.Key] = true
	}
	maps.DeleteFunc(i.faults, func(key, _ string) bool { return strings.HasPrefix(key, prefix) && !present[key] })
}
