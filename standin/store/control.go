package store

import (
	"net/http"

	"sequoiasail.example/standin/httpserve"
	"sequoiasail.example/transport/store"
)

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	httpserve.Encode(w, http.StatusOK, s.state.faults.Load())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	m := message{kind: kindSetFaults}
	s.control(w, r, &m, &m.faults)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var body store.VMsResponse
	if err := httpserve.Decode(r, maxBody, &body); err != nil {
		refuse(w, err)
		return
	}
	s.forward(w, r, message{kind: kindSetVMs, vms: body.VMs})
}

// control decodes the body into v, a field of m, and forwards m.
func (s *Server) control(w http.ResponseWriter, r *http.Request, m *message, v any) {
	if err := httpserve.Decode(r, maxBody, v); err != nil {
		refuse(w, err)
		return
	}
	s.forward(w, r, *m)
}

// forward performs a control call, which is neither subject to faults nor counted.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, m message) {
	if _, err := s.ask(r.Context(), m); err != nil {
		refuse(w, err)
		return
	}
	httpserve.Encode(w, http.StatusOK, struct{}{})
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	counts := map[string]uint64{}
	for k := kindGet; k <= kindVMs; k++ {
		counts[kindNames[k]] = s.counts[k].Load()
	}
	httpserve.Encode(w, http.StatusOK, counts)
}
