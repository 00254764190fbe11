package measure

import "fmt"

// All runs every measurement with one seed and returns the results in order. Each result prints as one line.
func All(source Source, seed uint64) []fmt.Stringer {
	var all []fmt.Stringer
	for _, r := range MeasureStragglers(source, seed) {
		all = append(all, r)
	}
	for _, r := range MeasureColdStart(source, seed) {
		all = append(all, r)
	}
	for _, r := range MeasureOverload(source, seed) {
		all = append(all, r)
	}
	for _, r := range MeasureOrders(source, seed, OrderCount) {
		all = append(all, r)
	}
	return all
}
