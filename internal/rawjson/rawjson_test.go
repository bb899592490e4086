package rawjson

import (
	"bytes"
	"encoding/json"
	"testing"
)

const splitExample = ` {"a": [1, "],\"{", {"b": null}], "c\"": {}, "d" : -1.5e3, "e": [] ,"f":"\\"} `

func TestValuesAreSplitAsByTheDecoder(t *testing.T) {
	var want map[string]json.RawMessage
	if err := json.Unmarshal([]byte(splitExample), &want); err != nil {
		t.Fatal(err)
	}
	got, err := Fields([]byte(splitExample))
	if err != nil || len(got) != len(want) {
		t.Fatalf("%v, %v", got, err)
	}
	for name, value := range want {
		if !bytes.Equal(got[name], value) {
			t.Errorf("field %s: %s, want %s", name, got[name], value)
		}
	}
	elements, err := Elements(got["a"])
	if err != nil || len(elements) != 3 || string(elements[2]) != `{"b": null}` {
		t.Errorf("elements %s, %v", elements, err)
	}
	if elements, err := Elements(got["e"]); err != nil || len(elements) != 0 {
		t.Errorf("empty array: %s, %v", elements, err)
	}
}

// Guards against a part of a value that is taken for the whole.
func TestMalformedValues(t *testing.T) {
	for _, text := range []string{"", "{", "}", "[]", `{"a":1}}`, `{{"a":1}`, `{"a"}`, `{"a":"}`, `{a:1}`, `{"a":[}`} {
		if fields, err := Fields([]byte(text)); err == nil {
			t.Errorf("%s: split into %s", text, fields)
		}
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(splitExample))
	f.Fuzz(func(t *testing.T, data []byte) {
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			_, _ = Fields(data)
			return
		}
		got, err := Fields(data)
		if err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		for name, value := range want {
			if !bytes.Equal(got[name], value) {
				t.Errorf("field %q: %q, want %q", name, got[name], value)
			}
		}
	})
}
