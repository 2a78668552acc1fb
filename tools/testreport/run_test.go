package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	startA  = `{"Action":"start","Package":"github.com/quartzdock/quartzdock/internal/a"}` + "\n"
	passOne = `{"Action":"pass","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestOne"}` + "\n"
	failOne = `{"Action":"output","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestOne","Output":"one is not two\n"}
{"Action":"fail","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestOne/sub"}
{"Action":"fail","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestOne"}
`
	failTwo = `{"Action":"fail","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestTwo"}` + "\n"
	passA   = `{"Action":"pass","Package":"github.com/quartzdock/quartzdock/internal/a"}` + "\n"
	failA   = `{"Action":"fail","Package":"github.com/quartzdock/quartzdock/internal/a"}` + "\n"
	panicA  = `{"Action":"output","Package":"github.com/quartzdock/quartzdock/internal/a","Test":"TestOne","Output":"panic: test timed out\n"}` + "\n"
	build   = `{"Action":"build-output","ImportPath":"x","Output":"a.go:1: undefined\n"}` + "\n"
)

func TestReportVerdict(t *testing.T) {
	listed := []knownFailure{{Test: "internal/a.TestOne", Command: "go test ./internal/a -seed 7", Observed: "counts wrong", Issue: "issue 4"}}
	cases := []struct {
		name, input string
		known       []knownFailure
		passes      bool
		printed     string
	}{
		{"all pass", startA + passOne + passA, nil, true, "1 passed, 0 failed"},
		{"one fails", startA + failOne + failA, nil, false, "one is not two"},
		{"a listed test fails", startA + failOne + failA, listed, true, "known to fail: internal/a.TestOne: failed (counts wrong; go test ./internal/a -seed 7; issue 4)"},
		{"an unlisted test fails beside it", startA + failOne + failTwo + failA, listed, false, "--- FAILED internal/a.TestTwo"},
		{"a listed test panics", startA + panicA + failOne + failA, listed, false, "--- FAILED internal/a"},
		{"a listed test passes", startA + passOne + passA, listed, true, "passed; take it off the list"},
		{"the package does not build", startA + build + failA, listed, false, "a.go:1: undefined"},
		{"the run ends early", startA + passOne, nil, false, "--- NOT FINISHED internal/a"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r, err := readRun(strings.NewReader(test.input))
			assert.NilError(t, err)
			var out bytes.Buffer
			assert.Equal(t, r.report(&out, test.known), test.passes, out.String())
			assert.Assert(t, strings.Contains(out.String(), test.printed), out.String())
		})
	}
}

func TestEmptyInputIsAnError(t *testing.T) {
	_, err := readRun(strings.NewReader(""))
	assert.ErrorIs(t, err, errNoFinishedPackage)
}

func TestParseKnownFailuresRejectsMalformedLists(t *testing.T) {
	listed, err := parseKnownFailures("# none\n\ninternal/a.TestOne | go test ./internal/a -seed 7 | counts wrong | issue 4\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, []knownFailure{{Test: "internal/a.TestOne", Command: "go test ./internal/a -seed 7", Observed: "counts wrong", Issue: "issue 4"}})
	_, err = parseKnownFailures("internal/a.TestOne | counts wrong | issue 4\nx | c | | y\n")
	assert.ErrorContains(t, err, "line 1")
	assert.ErrorContains(t, err, "line 2")
	_, err = parseKnownFailures(strings.Repeat("a.T | b | c | d\n", 4))
	assert.ErrorContains(t, err, "4 tests are listed; 3 at most")
}
