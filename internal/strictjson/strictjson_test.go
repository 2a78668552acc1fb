package strictjson_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/strictjson"
)

type target struct {
	A int
	B struct{ C string }
}

func TestUnmarshalReadsObjectsAndIgnoresUnknownNames(t *testing.T) {
	var into target
	assert.NilError(t, strictjson.Unmarshal([]byte(` {"a":7,"b":{"c":"x"},"other":[1,{"a":2}]} `), &into))
	assert.Equal(t, into.A, 7)
	assert.Equal(t, into.B.C, "x")
}

func TestUnmarshalRejectsAmbiguousOrMalformedInput(t *testing.T) {
	for text, want := range map[string]error{
		``:                                strictjson.ErrNotObject,
		`[]`:                              strictjson.ErrNotObject,
		`"a"`:                             strictjson.ErrNotObject,
		`null`:                            strictjson.ErrNotObject,
		"\xff\xfe":                        strictjson.ErrNotObject,
		`{"a":1,"a":2}`:                   strictjson.ErrDuplicateName,
		`{"a":1,"A":2}`:                   strictjson.ErrDuplicateName,
		`{"x":[{"y":1,"y":1}]}`:           strictjson.ErrDuplicateName,
		`{"a":1}{"a":2}`:                  strictjson.ErrTrailingData,
		`{"a":1} x`:                       strictjson.ErrTrailingData,
		strings.Repeat(`{"b":`, 90):       strictjson.ErrTooDeep,
		`{"x":` + strings.Repeat(`[`, 90): strictjson.ErrTooDeep,
	} {
		var into target
		assert.ErrorIs(t, strictjson.Unmarshal([]byte(text), &into), want, "%.40s", text)
	}
	for _, text := range []string{`{`, `{"a"}`, `{"a":NaN}`, `{"a":1,}`, `{"a":"7"}`, `{"a":1.5}`, `{"a":99999999999999999999}`, `{"b":[]}`, `{a:1}`} {
		var into target
		assert.Assert(t, strictjson.Unmarshal([]byte(text), &into) != nil, text)
	}
}

// Unmarshal returns without a panic on any input.
func FuzzUnmarshal(f *testing.F) {
	for _, text := range []string{`{"a":7,"b":{"c":"x"}}`, `{"a":1,"a":2}`, `[{}]`, `{"a":1e400}`, "\x00", `{"\u0061":1,"a":2}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var into target
		_ = strictjson.Unmarshal(data, &into)
	})
}
