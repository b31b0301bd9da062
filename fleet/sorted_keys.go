package fleet

import "slices"

// sortedMatches returns the keys of the entries that match, sorted. Code that runs at each tick uses it to find the few due
// entries of a large map, since it sorts only the keys that match.
func sortedMatches[V any](m map[string]V, matches func(key string, value V) bool) (keys []string) {
	for key, value := range m {
		if matches(key, value) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
