// Package strictjson reads JSON objects that other programs have written, more strictly
// than encoding/json: names that stand twice in an object, or differ from a field's name
// in case only, can mean two things to two readers, and so can what follows the object.
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

// maxDepth bounds how deep objects and lists may be nested; what is read here is flat.
const maxDepth = 16

// Errors of Unmarshal beside those of encoding/json.
var (
	ErrNoObject  = errors.New("no object")
	ErrTwice     = errors.New("name stands twice")
	ErrTooDeep   = errors.New("nested too deep")
	ErrMoreBytes = errors.New("bytes after the object")
)

// Unmarshal reads one object. Unknown names pass.
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
		return fmt.Errorf("%w: %w", ErrNoObject, err)
	}
	if first != json.Delim('{') {
		return ErrNoObject
	}
	if err := checkMembers(decoder, 1); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrMoreBytes
	}
	return nil
}

// checkMembers reads an object whose first token was read.
func checkMembers(decoder *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return ErrNoObject
		}
		folded := strings.ToLower(name)
		if seen[folded] {
			return fmt.Errorf("%.64q: %w", name, ErrTwice)
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
	begin, ok := token.(json.Delim)
	switch {
	case !ok:
		return nil
	case depth >= maxDepth:
		return ErrTooDeep
	case begin == '{':
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
