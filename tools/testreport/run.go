package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

// modulePath is the prefix that is removed from package names.
const modulePath = "github.com/quartzdock/quartzdock/"

// event is one line of "go test -json" (see "go doc test2json").
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	// FailedBuild names the package whose build failed.
	FailedBuild string
}

// testID identifies a test, or a package if test is empty.
type testID struct{ pkg, test string }

// name returns "package.TestName".
func (id testID) name() string { return id.pkg + "." + id.test }

// run holds the results and output of a test run.
type run struct {
	output  map[testID]string
	failed  map[testID]bool
	passed  map[testID]bool
	skipped map[testID]bool
	// unfinished holds the packages that started and have not finished.
	unfinished  map[string]bool
	buildOutput strings.Builder
	// panicked holds the packages in which a test panicked or timed out.
	panicked map[string]bool
}

var errNoFinishedPackage = errors.New("the input contains no finished package")

// readRun reads events until the end of the input.
func readRun(input io.Reader) (*run, error) {
	r := &run{
		output: make(map[testID]string), failed: make(map[testID]bool), passed: make(map[testID]bool),
		skipped: make(map[testID]bool), unfinished: make(map[string]bool), panicked: make(map[string]bool),
	}
	lines := bufio.NewReader(input)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.readLine(line)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(r.passed)+len(r.failed)+len(r.skipped) == 0 {
		return nil, errNoFinishedPackage
	}
	return r, nil
}

// readLine processes one event. A line that is not JSON is kept as build output.
func (r *run) readLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		r.buildOutput.Write(line)
		return
	}
	id := testID{pkg: strings.TrimPrefix(e.Package, modulePath), test: e.Test}
	switch e.Action {
	case "start":
		r.unfinished[id.pkg] = true
	case "output":
		r.output[id] += e.Output
		if strings.HasPrefix(e.Output, "panic: ") {
			r.panicked[id.pkg] = true
		}
	case "build-output":
		r.buildOutput.WriteString(e.Output)
	case "pass", "fail", "skip":
		r.recordResult(id, e.Action)
	}
}

// recordResult records the result of a test or package.
func (r *run) recordResult(id testID, action string) {
	if id.test == "" {
		delete(r.unfinished, id.pkg)
	}
	switch action {
	case "pass":
		r.passed[id] = true
	case "fail":
		r.failed[id] = true
	case "skip":
		r.skipped[id] = true
	}
}

// report prints the results and returns whether the run passes.
func (r *run) report(out io.Writer, known []knownFailure) bool {
	byName := make(map[string]knownFailure)
	for _, entry := range known {
		byName[entry.Test] = entry
	}
	failures := 0
	knownFailed := make(map[string]bool)
	for _, id := range sortedIDs(r.failed) {
		if _, listed := byName[topLevelTest(id).name()]; listed && id.test != "" && !r.panicked[id.pkg] {
			knownFailed[topLevelTest(id).name()] = true
			continue
		}
		if id.test == "" && r.failedOnlyByKnownTests(id.pkg, knownFailed) {
			continue
		}
		failures++
		fmt.Fprintf(out, "--- FAILED %s\n%s", strings.TrimSuffix(id.name(), "."), r.output[id])
	}
	for pkg := range r.unfinished {
		failures++
		fmt.Fprintf(out, "--- NOT FINISHED %s\n", pkg)
	}
	fmt.Fprint(out, r.buildOutput.String())
	r.reportKnownFailures(out, known, knownFailed)
	for _, id := range sortedIDs(r.skipped) {
		if id.test != "" {
			fmt.Fprintf(out, "skipped: %s\n", id.name())
		}
	}
	fmt.Fprintf(out, "tests: %d passed, %d failed, %d known to fail, %d skipped\n",
		countTests(r.passed), failures, len(knownFailed), countTests(r.skipped))
	return failures == 0
}

// failedOnlyByKnownTests reports whether all failed tests of a package are
// listed as known failures. It is false for a package without failed tests.
func (r *run) failedOnlyByKnownTests(pkg string, knownFailed map[string]bool) bool {
	if r.panicked[pkg] {
		return false
	}
	tests := 0
	for id := range r.failed {
		if id.pkg != pkg || id.test == "" {
			continue
		}
		if !knownFailed[topLevelTest(id).name()] {
			return false
		}
		tests++
	}
	return tests > 0
}

// reportKnownFailures prints every listed test with its result in this run.
func (r *run) reportKnownFailures(out io.Writer, known []knownFailure, knownFailed map[string]bool) {
	for _, entry := range known {
		state := "did not run"
		switch {
		case knownFailed[entry.Test]:
			state = "failed"
		case r.hasPassed(entry.Test):
			state = "passed; take it off the list if it does so again"
		}
		fmt.Fprintf(out, "known to fail: %s: %s (%s; %s; %s)\n", entry.Test, state, entry.Observed, entry.Command, entry.Issue)
	}
}

// hasPassed reports whether the named test passed.
func (r *run) hasPassed(name string) bool {
	for id := range r.passed {
		if id.test != "" && id.name() == name {
			return true
		}
	}
	return false
}

// topLevelTest returns the top-level test of a subtest.
func topLevelTest(id testID) testID {
	name, _, _ := strings.Cut(id.test, "/")
	return testID{pkg: id.pkg, test: name}
}

// sortedIDs returns the members ordered by package, the tests of a package
// before the package itself.
func sortedIDs(set map[testID]bool) []testID {
	ids := make([]testID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].pkg != ids[j].pkg {
			return ids[i].pkg < ids[j].pkg
		}
		if (ids[i].test == "") != (ids[j].test == "") {
			return ids[i].test != ""
		}
		return ids[i].test < ids[j].test
	})
	return ids
}

// countTests counts the members that are tests, not packages.
func countTests(set map[testID]bool) int {
	count := 0
	for id := range set {
		if id.test != "" {
			count++
		}
	}
	return count
}
