package gateway

import (
	"net/http"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// serviceView is the part of a service's configuration that the front end uses.
type serviceView struct {
	name types.Service
	// readOnly services accept GET and HEAD only.
	readOnly     bool
	writeClass   types.Class
	maxBodyBytes int64
	timeout      [types.ClassCount]time.Duration
}

// configView is the part of the current configuration that the front end uses. It is immutable.
type configView struct {
	version  types.Version
	services map[types.Service]serviceView
}

func newConfigView(c *config.Configuration) (*configView, error) {
	v := &configView{version: c.Version, services: make(map[types.Service]serviceView, len(c.Services))}
	for _, s := range c.Services {
		view, err := newServiceView(s)
		if err != nil {
			return nil, err
		}
		v.services[s.Name] = view
	}
	return v, nil
}

func newServiceView(s config.Service) (serviceView, error) {
	view := serviceView{name: s.Name, readOnly: s.WriteClass == "", maxBodyBytes: s.Limits.MaxBodyBytes}
	if !view.readOnly {
		class, err := types.ParseClass(s.WriteClass)
		if err != nil {
			return serviceView{}, err
		}
		view.writeClass = class
	}
	for _, p := range s.Classes {
		c, err := types.ParseClass(p.Class)
		if err != nil {
			return serviceView{}, err
		}
		view.timeout[c] = time.Duration(p.TimeoutMs) * time.Millisecond
	}
	return view, nil
}

func (v *configView) service(name types.Service) (serviceView, bool) {
	if v == nil {
		return serviceView{}, false
	}
	s, ok := v.services[name]
	return s, ok
}

// classOf returns the class of requests with the method, or false when the service does not accept them.
func (s serviceView) classOf(method string) (types.Class, bool) {
	if method == http.MethodGet || method == http.MethodHead {
		return types.ClassLookup, true
	}
	return s.writeClass, !s.readOnly
}
