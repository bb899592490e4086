// Package rawjson splits a JSON value into its parts by brackets and quotes alone.
// encoding/json refuses a body as a whole if one value in it is nested too deeply or holds
// bytes that are not allowed in JSON, whoever has written that value.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that a value does not end, or is not of the expected type.
var ErrMalformed = errors.New("malformed JSON")

// Fields returns the fields of an object.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	err := split(data, '{', '}', func(part []byte) error {
		end := stringEnd(part, 0)
		if end < 0 {
			return ErrMalformed
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return errors.Wrap(err, "field name")
		}
		value, found := bytes.CutPrefix(bytes.TrimSpace(part[end:]), []byte(":"))
		if !found {
			return ErrMalformed
		}
		fields[name] = bytes.TrimSpace(value)
		return nil
	})
	return fields, err
}

// Elements returns the elements of an array.
func Elements(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(data, '[', ']', func(part []byte) error {
		elements = append(elements, part)
		return nil
	})
	return elements, err
}

// split calls visit for each part of a value between an opening and a closing
// bracket. Commas separate the parts.
func split(data []byte, opening, closing byte, visit func(part []byte) error) error {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != opening || data[len(data)-1] != closing {
		return ErrMalformed
	}
	data = data[1 : len(data)-1]
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	for {
		end := partEnd(data)
		if end < 0 {
			return ErrMalformed
		}
		if err := visit(bytes.TrimSpace(data[:end])); err != nil {
			return err
		}
		if end == len(data) {
			return nil
		}
		data = data[end+1:]
	}
}

// partEnd returns the index of the first comma outside of brackets and strings, or the
// length of data if there is none; -1 if a bracket or a string does not end.
func partEnd(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			end := stringEnd(data, i)
			if end < 0 {
				return -1
			}
			i = end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return -1
			}
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	if depth > 0 {
		return -1
	}
	return len(data)
}

// stringEnd returns the index after the string that starts at data[start], or -1 if
// there is none or it does not end.
func stringEnd(data []byte, start int) int {
	if start >= len(data) || data[start] != '"' {
		return -1
	}
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}
