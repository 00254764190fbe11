package config

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"sequoiasail.example/types"
)

// Change is one value that differs between two configurations.
type Change struct {
	Path string `json:"path"`
	// Before and After are JSON. An empty string means that the value does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect says what happens when the change takes effect. It is given at the first value of a part.
	Effect string `json:"effect,omitempty"`
}

// Move is what a revision does to the keys of one service.
type Move struct {
	Service types.Service `json:"service"`
	// Slots that get another owner at least, and the size of the table.
	Slots int    `json:"slots"`
	Of    int    `json:"of"`
	Why   string `json:"why"`
}

// Difference is what a revision changes and what it moves.
type Difference struct {
	Changes []Change `json:"changes"`
	Moves   []Move   `json:"moves"`
}

// Empty reports whether both configurations have the same content. Versions are not compared.
func (d Difference) Empty() bool { return len(d.Changes) == 0 }

// Diff compares two configurations. The version is left out, since it differs always.
func Diff(before, after Configuration) Difference {
	old, current := flatten(before), flatten(after)
	values := map[string]*Change{}
	for _, l := range old {
		values[l.path] = &Change{Path: l.path, Before: l.value}
	}
	for _, l := range current {
		if c, ok := values[l.path]; ok {
			c.After = l.value
			continue
		}
		values[l.path] = &Change{Path: l.path, After: l.value}
	}
	return Difference{Changes: changesOf(values), Moves: moves(before, after)}
}

func changesOf(values map[string]*Change) []Change {
	out := []Change{}
	for _, c := range values {
		if c.Before != c.After && c.Path != "version" {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	shown := map[string]bool{}
	for i := range out {
		part, effect := effectOf(out[i])
		if !shown[part] {
			out[i].Effect = effect
		}
		shown[part] = true
	}
	return out
}

// effectOf returns the part of the configuration that c belongs to and what the change does.
func effectOf(c Change) (part, effect string) {
	p := strings.Split(c.Path, ".")
	added, removed := c.Before == "", c.After == ""
	switch {
	case p[0] == "ownership":
		return p[0], "leases get the new timing when they are renewed"
	case p[0] == "dataCentres":
		return join(p[0], p[1]), partEffect(added, removed, "data centre", "routing uses the new value at once")
	case len(p) == 3:
		return c.Path, serviceEffect(p[2], added, removed)
	case p[2] == "targets":
		return strings.Join(p[:4], "."), targetEffect(p[4], added, removed)
	case p[2] == "classes":
		return strings.Join(p[:4], "."), partEffect(added, removed, "class", "holds for requests that arrive from then on")
	}
	return strings.Join(p[:3], "."), "holds for requests that arrive from then on"
}

func partEffect(added, removed bool, what, changed string) string {
	switch {
	case added:
		return what + " added"
	case removed:
		return what + " removed"
	}
	return changed
}

func serviceEffect(field string, added, removed bool) string {
	switch {
	case (added || removed) && field != "slots":
		return partEffect(added, removed, "service", "")
	case field == "keyed" || field == "slots":
		return "the slot table is built anew: every key gets a new owner, and the service pauses meanwhile"
	case field == "scope":
		return "the quorum group is formed anew, one member at a time"
	}
	return "holds for requests that arrive from then on"
}

func targetEffect(field string, added, removed bool) string {
	switch {
	case added:
		return "target added: it starts cold"
	case removed:
		return "target removed: it gets no new work, finishes what it has, and its keys move"
	case field == "address" || field == "dataCentre":
		return "treated as a new target: connections are opened anew and it starts cold"
	}
	if field == "weight" {
		return "its share of the keys changes"
	}
	return "takes effect with the next request"
}

// moves returns the services whose keys move.
func moves(before, after Configuration) []Move {
	old := map[types.Service]Service{}
	for _, s := range before.Services {
		old[s.Name] = s
	}
	out := []Move{}
	for _, s := range normalize(after).Services {
		was, existed := old[s.Name]
		if !existed || !s.Keyed {
			continue
		}
		if m := moveOf(was, s); m.Slots > 0 {
			out = append(out, m)
		}
	}
	return out
}

// moveOf returns the least number of slots that must change owner: what the shares of targets grow by.
func moveOf(was, is Service) Move {
	m := Move{Service: is.Name, Of: int(is.Slots)}
	if !was.Keyed || was.Slots != is.Slots {
		m.Slots = m.Of
		m.Why = "the slot table has another size"
		return m
	}
	old, now := sharesOf(was), sharesOf(is)
	grown := 0.0
	for name, share := range now {
		grown += max(share-old[name], 0)
	}
	m.Slots = int(math.Round(grown * float64(is.Slots)))
	m.Why = "targets were added or removed, or their weight changed"
	return m
}

// sharesOf returns the part of the keys that each target should hold.
func sharesOf(s Service) map[types.Target]float64 {
	total := 0.0
	for _, t := range s.Targets {
		total += t.Weight
	}
	shares := make(map[types.Target]float64, len(s.Targets))
	for _, t := range s.Targets {
		shares[t.Name] = t.Weight / total
	}
	return shares
}
