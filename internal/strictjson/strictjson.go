// Package strictjson parses JSON objects that other programs have written, more strictly
// than encoding/json: it rejects names that occur twice in an object, also if they differ
// only in case, and data after the object, because two parsers may read these differently.
// It is pure.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxDepth limits the nesting of objects and arrays; the expected input is nearly flat.
const maxDepth = 16

// Errors of Unmarshal in addition to those of encoding/json.
var (
	ErrNotObject     = errors.New("no object")
	ErrDuplicateName = errors.New("name stands twice")
	ErrTooDeep       = errors.New("nested too deep")
	ErrTrailingData  = errors.New("bytes after the object")
)

// Unmarshal parses data, which must be exactly one object. Unknown names are ignored.
func Unmarshal(data []byte, into any) error {
	if err := checkObject(data); err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func checkObject(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	first, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotObject, err)
	}
	if first != json.Delim('{') {
		return ErrNotObject
	}
	if err := checkMembers(decoder, 1); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}

// checkMembers checks the members of an object whose opening brace has been read.
func checkMembers(decoder *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return ErrNotObject
		}
		folded := strings.ToLower(name)
		if seen[folded] {
			return fmt.Errorf("%.64q: %w", name, ErrDuplicateName)
		}
		seen[folded] = true
		if err := checkValue(decoder, depth); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func checkValue(decoder *json.Decoder, depth int) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	opening, ok := token.(json.Delim)
	switch {
	case !ok:
		return nil
	case depth >= maxDepth:
		return ErrTooDeep
	case opening == '{':
		return checkMembers(decoder, depth+1)
	}
	for decoder.More() {
		if err := checkValue(decoder, depth+1); err != nil {
			return err
		}
	}
	_, err = decoder.Token()
	return err
}
