package questionnaire

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"sequoiasail.example/config"
)

// suggestion returns the answer that an empty line stands for: the current value, a value derived from earlier answers,
// or the constant default.
func (s *session) suggestion(v reflect.Value, q config.Question, path string) string {
	if !unset(v, q) {
		return formatValue(v)
	}
	if next := s.nextInSeries(path); next != "" {
		return next
	}
	return q.Default
}

// unset reports whether v has no value to suggest. A number with a constant default was initialised with it, so 0 in
// such a field was typed.
func unset(v reflect.Value, q config.Question) bool {
	if v.Kind() == reflect.Pointer || v.Kind() == reflect.String {
		return v.IsZero()
	}
	return v.IsZero() && q.Default == ""
}

// nextInSeries suggests a name, data centre or address that continues the series of the elements before, so that long
// lists of targets need little typing. It returns "" for other paths.
func (s *session) nextInSeries(path string) string {
	var service, index int
	answers := &s.draft.Answers
	switch withoutIndices(path) {
	case "dataCentres[].region":
		if _, err := fmt.Sscanf(path, "dataCentres[%d]", &index); err == nil && index > 0 {
			return string(answers.DataCentres[index-1].Region)
		}
		return ""
	case "services[].targets[].name", "services[].targets[].dataCentre", "services[].targets[].address":
	default:
		return ""
	}
	if _, err := fmt.Sscanf(path, "services[%d].targets[%d]", &service, &index); err != nil {
		return ""
	}
	switch path[strings.LastIndexByte(path, '.')+1:] {
	case "name":
		return fmt.Sprintf("%s-%02d", answers.Services[service].Name, index+1)
	case "dataCentre":
		if len(answers.DataCentres) == 0 {
			return ""
		}
		return string(answers.DataCentres[index%len(answers.DataCentres)].Name)
	}
	return nextAddress(previousAddress(answers, service, index))
}

// previousAddress returns the address of the target before the given one, which may belong to the service before, or
// "".
func previousAddress(a *config.Answers, service, target int) string {
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

// nextAddress returns address with the next port, or "" if there is none.
func nextAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 65535 {
		return ""
	}
	return netip.AddrPortFrom(parsed.Addr(), parsed.Port()+1).String()
}

// assignment splits PATH=VALUE.
func assignment(text string) (path, value string, err error) {
	path, value, found := strings.Cut(text, "=")
	if !found || path == "" {
		return "", "", badRequest("%s is not PATH=VALUE", strconv.Quote(text))
	}
	return path, value, nil
}
