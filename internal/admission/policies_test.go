package admission

// The queueing policies that BenchmarkFairness compares. Those that were not
// chosen exist only here; see docs/decisions/010-queues-and-fairness.md.

// firstCome has a single first-come, first-served queue.
func firstCome(*Request) path { return path{} }

// perCaller divides by the caller's whole name.
func perCaller(request *Request) path {
	var p path
	p.push(key{caller: request.Caller})
	return p
}

// perCallerAndClass divides by the caller's whole name, then by class.
func perCallerAndClass(request *Request) path {
	p := perCaller(request)
	p.push(key{class: request.Class + 1})
	return p
}

// perClass has a queue for each class.
func perClass(request *Request) path {
	var p path
	p.push(key{class: request.Class + 1})
	return p
}

var policies = []struct {
	name   string
	policy policy
}{
	{"first-come", firstCome}, {"per-class", perClass}, {"per-caller", perCaller},
	{"per-caller-and-class", perCallerAndClass}, {"nested", nested},
}

// defaultPolicy is the policy that New sets.
var defaultPolicy = nested
