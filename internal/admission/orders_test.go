package admission

// The orders that the bench compares. Those that lost stand only here; see
// docs/decisions/010-queues-and-fairness.md.

// firstCome has a single queue.
func firstCome(*Request) path { return path{} }

// perCaller divides by the caller's whole name.
func perCaller(request *Request) path {
	var way path
	way.push(key{caller: request.Caller})
	return way
}

// perCallerAndClass divides by the caller's whole name, then by class.
func perCallerAndClass(request *Request) path {
	way := perCaller(request)
	way.push(key{class: request.Class + 1})
	return way
}

// perClass has a queue for each class.
func perClass(request *Request) path {
	var way path
	way.push(key{class: request.Class + 1})
	return way
}

var orders = []struct {
	name   string
	policy policy
}{
	{"first-come", firstCome}, {"per-class", perClass}, {"per-caller", perCaller},
	{"per-caller-and-class", perCallerAndClass}, {"nested", nested},
}

// chosen is the order of the product.
var chosen = nested
