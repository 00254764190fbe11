package questionnaire

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"sequoiasail.example/config"
)

// suggestion returns the answer that Enter stands for: the value so far, a value that follows from earlier answers, or the
// constant default.
func (s *session) suggestion(v reflect.Value, q config.Question, path string) string {
	if !unset(v, q) {
		return show(v)
	}
	if next := s.continued(path); next != "" {
		return next
	}
	return q.Default
}

// unset reports whether v has no value to suggest. Where a constant default exists, v has been set to it, so a zero there
// was typed.
func unset(v reflect.Value, q config.Question) bool {
	if v.Kind() == reflect.Pointer || v.Kind() == reflect.String {
		return v.IsZero()
	}
	return v.IsZero() && q.Default == ""
}

// continued suggests names, data centres and addresses that continue those of the element before. Nobody wants to type
// twenty targets.
func (s *session) continued(path string) string {
	var service, target int
	a := &s.draft.Answers
	switch pattern(path) {
	case "dataCentres[].region":
		if _, err := fmt.Sscanf(path, "dataCentres[%d]", &target); err == nil && target > 0 {
			return string(a.DataCentres[target-1].Region)
		}
		return ""
	case "services[].targets[].name", "services[].targets[].dataCentre", "services[].targets[].address":
	default:
		return ""
	}
	if _, err := fmt.Sscanf(path, "services[%d].targets[%d]", &service, &target); err != nil {
		return ""
	}
	switch path[strings.LastIndexByte(path, '.')+1:] {
	case "name":
		return fmt.Sprintf("%s-%02d", a.Services[service].Name, target+1)
	case "dataCentre":
		if len(a.DataCentres) == 0 {
			return ""
		}
		return string(a.DataCentres[target%len(a.DataCentres)].Name)
	}
	return following(addressBefore(a, service, target))
}

// addressBefore returns the address of the target before, across services, or "".
func addressBefore(a *config.Answers, service, target int) string {
	for ; service >= 0; service-- {
		targets := a.Services[service].Targets
		if target > 0 {
			return targets[target-1].Address
		}
		if service > 0 {
			target = len(a.Services[service-1].Targets)
		}
	}
	return ""
}

// following returns address with the next port, or "".
func following(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 65535 {
		return ""
	}
	return netip.AddrPortFrom(parsed.Addr(), parsed.Port()+1).String()
}

// assignment splits "path=value".
func assignment(text string) (path, value string, err error) {
	path, value, found := strings.Cut(text, "=")
	if !found || path == "" {
		return "", "", refused("%s is not PATH=VALUE", strconv.Quote(text))
	}
	return path, value, nil
}
