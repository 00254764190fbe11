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
	// Path of the value. Elements of lists are named, for example services.bodega.scope.
	Path string `json:"path"`
	// Before and After are JSON. An empty string means that the value does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect says what happens when the change takes effect. It is set only on the first change of each target, class or
	// other part of the configuration.
	Effect string `json:"effect,omitempty"`
}

// Move says how many slots, and with them keys, of one service get another owner because of a revision.
type Move struct {
	Service types.Service `json:"service"`
	// Slots is the least number of slots that get another owner, TableSlots the number of all slots.
	Slots      int `json:"slots"`
	TableSlots int `json:"of"`
	// Why says which change of the service moves its keys.
	Why string `json:"why"`
}

// Difference holds the values that a revision changes and the services whose keys it moves.
type Difference struct {
	Changes []Change `json:"changes"`
	Moves   []Move   `json:"moves"`
}

// Empty reports whether both configurations have the same content. Versions are not compared.
func (d Difference) Empty() bool { return len(d.Changes) == 0 }

// Diff compares two configurations. It ignores the version, which always differs.
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
	return Difference{Changes: changedValues(values), Moves: keyMoves(before, after)}
}

// changedValues returns the values that differ, ordered by path, with their effects.
func changedValues(values map[string]*Change) []Change {
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
		return joinPath(p[0], p[1]), partEffect(added, removed, "data centre", "routing uses the new value at once")
	case len(p) == 3:
		return c.Path, serviceEffect(p[2], added, removed)
	case p[2] == "targets":
		return strings.Join(p[:4], "."), targetEffect(p[4], added, removed)
	case p[2] == "classes":
		return strings.Join(p[:4], "."), partEffect(added, removed, "class", "holds for requests that arrive from then on")
	}
	return strings.Join(p[:3], "."), "holds for requests that arrive from then on"
}

// partEffect returns the effect of a change of a part of the given kind: changed, unless the part was added or removed.
func partEffect(added, removed bool, what, changed string) string {
	switch {
	case added:
		return what + " added"
	case removed:
		return what + " removed"
	}
	return changed
}

// serviceEffect returns the effect of a change of a field of a service.
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

// targetEffect returns the effect of a change of a field of a target.
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

// keyMoves returns the services whose keys move.
func keyMoves(before, after Configuration) []Move {
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
		if m := keyMove(was, s); m.Slots > 0 {
			out = append(out, m)
		}
	}
	return out
}

// keyMove returns the least number of slots that must change owner, which is the sum of the growth of the targets'
// shares. A slot table of another size moves all slots.
func keyMove(before, after Service) Move {
	m := Move{Service: after.Name, TableSlots: int(after.Slots)}
	if !before.Keyed || before.Slots != after.Slots {
		m.Slots = m.TableSlots
		m.Why = "the slot table has another size"
		return m
	}
	old, now := keyShares(before), keyShares(after)
	grown := 0.0
	for name, share := range now {
		grown += max(share-old[name], 0)
	}
	m.Slots = int(math.Round(grown * float64(after.Slots)))
	m.Why = "targets were added or removed, or their weight changed"
	return m
}

// keyShares returns the fraction of the keys that each target should own, in proportion to its weight.
func keyShares(s Service) map[types.Target]float64 {
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
