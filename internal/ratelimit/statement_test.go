package ratelimit_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

func TestLimitsAreParsed(t *testing.T) {
	for text, want := range map[string]float64{"28.8": 28.8, "0": 0, "5": 5, "0.25": 0.25, " 7 ": 7, "3.": 3, ".5": .5, "000012": 12, "1000000000": 1e9} {
		statement, err := ratelimit.Parse([]string{text})
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, statement, ratelimit.Statement{Limited: true, PerSecond: want}, "%q", text)
	}
	statement, err := ratelimit.Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, statement, ratelimit.Statement{})
}

func TestMalformedLimitsAreRejected(t *testing.T) {
	for _, values := range [][]string{
		{""}, {"-3"}, {"+3"}, {"abc"}, {"NaN"}, {"Inf"}, {"1e3"}, {"0x10"}, {"1_000"}, {"3,5"}, {"."}, {"5", "5"}, {"5 6"}, {strings.Repeat("9", 40)},
	} {
		_, err := ratelimit.Parse(values)
		assert.ErrorIs(t, err, ratelimit.ErrMalformed, "%q", values)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"28.8", "0", ".5", "1e3", "-1", "99999999999999999999999999999999"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := ratelimit.Parse([]string{text})
		if err != nil {
			return
		}
		assert.Assert(t, statement.Limited && statement.PerSecond >= 0)
		again, err := ratelimit.Parse([]string{ratelimit.Format(statement.PerSecond)})
		if len(ratelimit.Format(statement.PerSecond)) <= 32 {
			assert.NilError(t, err)
			assert.Equal(t, again, statement)
		}
	})
}
