package settings

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against faults in a settings file that pass or hide others, and
// against lost or wrong defaults.
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

// Guards against input that stops the process instead of being reported.
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
