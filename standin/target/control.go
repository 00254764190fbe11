package target

import (
	"net/http"

	"github.com/gorilla/mux"

	"sequoiasail.example/standin/httpserve"
)

// PathTargets is the root of the control page. GET lists the targets. Below it, service/name/faults, service/name/journal
// and service/name/stats work like the paths of the target itself, also while the target accepts no connections.
const PathTargets = "/targets"

// hostedTarget is one of the targets of a process.
type hostedTarget struct {
	started Started
	server  *server
}

// control serves the control page for all targets of a process.
type control struct {
	targets []hostedTarget
}

func (c *control) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(PathTargets, c.list).Methods(http.MethodGet)
	r.HandleFunc(PathJournal, c.journals).Methods(http.MethodGet)
	for _, t := range c.targets {
		p := PathTargets + "/" + t.started.Service + "/" + t.started.Name
		r.HandleFunc(p+PathFaults, t.server.setFaults).Methods(http.MethodPost)
		r.HandleFunc(p+PathJournal, t.server.journal).Methods(http.MethodGet)
		r.HandleFunc(p+PathStats, t.server.callWithoutBody(kindStats)).Methods(http.MethodGet)
	}
	return r
}

func (c *control) list(w http.ResponseWriter, _ *http.Request) {
	list := make([]Started, 0, len(c.targets))
	for _, t := range c.targets {
		list = append(list, t.started)
	}
	httpserve.Encode(w, http.StatusOK, list)
}

// journals answers GET /journal with an array of the journals of all targets.
func (c *control) journals(w http.ResponseWriter, r *http.Request) {
	all := make([]any, 0, len(c.targets))
	for _, t := range c.targets {
		a, err := t.server.ask(r.Context(), message{kind: kindJournal})
		if err != nil {
			refuse(w, err)
			return
		}
		all = append(all, a.body)
	}
	httpserve.Encode(w, http.StatusOK, all)
}
