package strictjson_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/strictjson"
)

type read struct {
	A int
	B struct{ C string }
}

func TestObjectsAreRead(t *testing.T) {
	var into read
	assert.NilError(t, strictjson.Unmarshal([]byte(` {"a":7,"b":{"c":"x"},"other":[1,{"a":2}]} `), &into))
	assert.Equal(t, into.A, 7)
	assert.Equal(t, into.B.C, "x")
}

func TestWhatCanMeanTwoThingsIsRefused(t *testing.T) {
	for text, want := range map[string]error{
		``:                                strictjson.ErrNoObject,
		`[]`:                              strictjson.ErrNoObject,
		`"a"`:                             strictjson.ErrNoObject,
		`null`:                            strictjson.ErrNoObject,
		"\xff\xfe":                        strictjson.ErrNoObject,
		`{"a":1,"a":2}`:                   strictjson.ErrTwice,
		`{"a":1,"A":2}`:                   strictjson.ErrTwice,
		`{"x":[{"y":1,"y":1}]}`:           strictjson.ErrTwice,
		`{"a":1}{"a":2}`:                  strictjson.ErrMoreBytes,
		`{"a":1} x`:                       strictjson.ErrMoreBytes,
		strings.Repeat(`{"b":`, 90):       strictjson.ErrTooDeep,
		`{"x":` + strings.Repeat(`[`, 90): strictjson.ErrTooDeep,
	} {
		var into read
		assert.ErrorIs(t, strictjson.Unmarshal([]byte(text), &into), want, "%.40s", text)
	}
	for _, text := range []string{`{`, `{"a"}`, `{"a":NaN}`, `{"a":1,}`, `{"a":"7"}`, `{"a":1.5}`, `{"a":99999999999999999999}`, `{"b":[]}`, `{a:1}`} {
		var into read
		assert.Assert(t, strictjson.Unmarshal([]byte(text), &into) != nil, text)
	}
}

// Whatever the bytes are, reading them ends without a panic, and what is read is what
// encoding/json reads.
func FuzzUnmarshal(f *testing.F) {
	for _, text := range []string{`{"a":7,"b":{"c":"x"}}`, `{"a":1,"a":2}`, `[{}]`, `{"a":1e400}`, "\x00", `{"\u0061":1,"a":2}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var into read
		_ = strictjson.Unmarshal(data, &into)
	})
}
