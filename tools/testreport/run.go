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

// modulePath is cut from package names.
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

// key identifies a test, or a package where Test is empty.
type key struct{ pkg, test string }

// name returns "package.TestName".
func (k key) name() string { return k.pkg + "." + k.test }

// run is all that a test run said.
type run struct {
	output  map[key]string
	failed  map[key]bool
	passed  map[key]bool
	skipped map[key]bool
	// open are packages that started and have not ended.
	open   map[string]bool
	builds strings.Builder
	// panicked are packages in which a test panicked or timed out.
	panicked map[string]bool
}

// errNoTests says that the input holds no finished package.
var errNoTests = errors.New("the input holds no finished package")

// readRun reads events to the end of the input.
func readRun(input io.Reader) (*run, error) {
	r := &run{
		output: make(map[key]string), failed: make(map[key]bool), passed: make(map[key]bool),
		skipped: make(map[key]bool), open: make(map[string]bool), panicked: make(map[string]bool),
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
		return nil, errNoTests
	}
	return r, nil
}

// readLine reads one event; a line that is none is kept as build output.
func (r *run) readLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		r.builds.Write(line)
		return
	}
	at := key{pkg: strings.TrimPrefix(e.Package, modulePath), test: e.Test}
	switch e.Action {
	case "start":
		r.open[at.pkg] = true
	case "output":
		r.output[at] += e.Output
		if strings.HasPrefix(e.Output, "panic: ") {
			r.panicked[at.pkg] = true
		}
	case "build-output":
		r.builds.WriteString(e.Output)
	case "pass", "fail", "skip":
		r.end(at, e.Action)
	}
}

// end records how a test or package ended.
func (r *run) end(at key, action string) {
	if at.test == "" {
		delete(r.open, at.pkg)
	}
	switch action {
	case "pass":
		r.passed[at] = true
	case "fail":
		r.failed[at] = true
	case "skip":
		r.skipped[at] = true
	}
}

// report prints the verdict and says whether the run passes.
func (r *run) report(out io.Writer, known []knownRed) bool {
	excused := make(map[string]knownRed)
	for _, entry := range known {
		excused[entry.Test] = entry
	}
	failures := 0
	red := make(map[string]bool)
	for _, at := range sorted(r.failed) {
		if _, listed := excused[topTest(at).name()]; listed && at.test != "" && !r.panicked[at.pkg] {
			red[topTest(at).name()] = true
			continue
		}
		if at.test == "" && r.excusedByTests(at.pkg, red) {
			continue
		}
		failures++
		fmt.Fprintf(out, "--- FAILED %s\n%s", strings.TrimSuffix(at.name(), "."), r.output[at])
	}
	for pkg := range r.open {
		failures++
		fmt.Fprintf(out, "--- NOT FINISHED %s\n", pkg)
	}
	fmt.Fprint(out, r.builds.String())
	r.reportKnown(out, known, red)
	for _, at := range sorted(r.skipped) {
		if at.test != "" {
			fmt.Fprintf(out, "skipped: %s\n", at.name())
		}
	}
	fmt.Fprintf(out, "tests: %d passed, %d failed, %d known to fail, %d skipped\n",
		countTests(r.passed), failures, len(red), countTests(r.skipped))
	return failures == 0
}

// excusedByTests says whether a package failed only through listed tests.
func (r *run) excusedByTests(pkg string, red map[string]bool) bool {
	if r.panicked[pkg] {
		return false
	}
	tests := 0
	for at := range r.failed {
		if at.pkg != pkg || at.test == "" {
			continue
		}
		if !red[topTest(at).name()] {
			return false
		}
		tests++
	}
	return tests > 0
}

// reportKnown prints every listed test with what became of it.
func (r *run) reportKnown(out io.Writer, known []knownRed, red map[string]bool) {
	for _, entry := range known {
		state := "did not run"
		switch {
		case red[entry.Test]:
			state = "failed"
		case r.hasPassed(entry.Test):
			state = "passed; take it off the list if it does so again"
		}
		fmt.Fprintf(out, "known to fail: %s: %s (%s; %s; %s)\n", entry.Test, state, entry.Seen, entry.Command, entry.Issue)
	}
}

// hasPassed says whether the test of a name passed.
func (r *run) hasPassed(name string) bool {
	for at := range r.passed {
		if at.test != "" && at.name() == name {
			return true
		}
	}
	return false
}

// topTest returns the test that a subtest belongs to.
func topTest(at key) key {
	name, _, _ := strings.Cut(at.test, "/")
	return key{pkg: at.pkg, test: name}
}

// sorted returns keys in order, tests before their package.
func sorted(set map[key]bool) []key {
	keys := make([]key, 0, len(set))
	for at := range set {
		keys = append(keys, at)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].pkg != keys[j].pkg {
			return keys[i].pkg < keys[j].pkg
		}
		if (keys[i].test == "") != (keys[j].test == "") {
			return keys[i].test != ""
		}
		return keys[i].test < keys[j].test
	})
	return keys
}

// countTests counts the keys that are tests, not packages.
func countTests(set map[key]bool) int {
	count := 0
	for at := range set {
		if at.test != "" {
			count++
		}
	}
	return count
}
