package settings

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against errors in a settings file that are not reported or prevent the
// report of other errors, and against missing or wrong defaults.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, td *datadriven.TestData) string {
		s, found := Parse("entry.yaml", []byte(td.Input))
		if len(found) > 0 {
			return found.String()
		}
		tls := s.TLS
		s.TLS = nil
		return fmt.Sprintf("%+v\ntls %+v\n", *s, tls)
	})
}

// Guards against input that causes a panic instead of a finding.
func FuzzParse(f *testing.F) {
	f.Add([]byte("instance: e1\ntls: {key_file: k}\n"))
	f.Add([]byte("a: &x [*x]\r\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, found := Parse("f", data)
		if (s == nil) != (len(found) > 0) {
			t.Errorf("settings %v with findings %v", s, found)
		}
	})
}
