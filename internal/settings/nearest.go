package settings

// maxSuggestionDistance is the largest edit distance at which a name is suggested.
const maxSuggestionDistance = 3

// nearestField returns the known field with the smallest edit distance to a name,
// or "" if none is within maxSuggestionDistance.
func (set *FieldSet) nearestField(name string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, field := range set.fields {
		if distance := editDistance(name, field.Name); distance < bestDistance {
			best, bestDistance = field.Name, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two texts, in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			substitution := previous[j]
			if a[i] != b[j] {
				substitution++
			}
			current[j+1] = min(substitution, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
