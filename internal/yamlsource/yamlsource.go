// Package yamlsource decodes YAML files into protobuf messages and reports
// errors with their line and column.
package yamlsource

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"

	"buf.build/go/protoyaml"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/findings"
)

// Source is the YAML text of a message. It maps the fields of the message to lines
// and columns. A nil Source is valid and has no positions.
type Source struct {
	// File is the file name in findings.
	File      string
	root      *yaml.Node
	hasText   bool
	malformed bool
}

// Malformed reports whether the text is not a single YAML document, so that
// nothing was decoded.
func (s *Source) Malformed() bool { return s != nil && s.malformed }

// ParseYAML decodes a single YAML document into the message. Unknown and
// duplicate fields are findings. The Source is never nil.
func ParseYAML(file string, data []byte, message proto.Message) (*Source, findings.Findings) {
	src := &Source{File: file, hasText: true}
	if found := checkLineBreaks(file, data); len(found) > 0 {
		src.malformed = true
		return src, found
	}
	doc, found := parseNodes(file, data)
	if doc == nil || len(found) > 0 {
		src.malformed = len(found) > 0
		return src, found
	}
	src.root = doc
	found = append(found, duplicateFields(file, doc)...)
	err := protoyaml.UnmarshalOptions{Path: file}.Unmarshal(data, message)
	found = append(found, decodeFindings(file, err)...)
	found.Sort()
	return src, found
}

// checkLineBreaks rejects the characters that the YAML parser counts as line
// breaks but protoyaml does not. protoyaml uses the line number of the YAML
// parser as an index into its own list of lines and would panic.
func checkLineBreaks(file string, data []byte) findings.Findings {
	line, start := 1, 0
	for i := 0; i < len(data); i++ {
		rest := data[i:]
		switch {
		case rest[0] == '\n':
			line, start = line+1, i+1
		case rest[0] == '\r' && !bytes.HasPrefix(rest, []byte("\r\n")),
			bytes.HasPrefix(rest, []byte("\u0085")),
			bytes.HasPrefix(rest, []byte("\u2028")),
			bytes.HasPrefix(rest, []byte("\u2029")):
			return findings.Findings{{File: file, Line: line, Column: i - start + 1, Message: "line break other than LF or CR LF"}}
		}
	}
	return nil
}

var syntaxErrorPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

// parseNodes returns the root node of the document, or nil for an empty file.
// More than one document is a finding.
func parseNodes(file string, data []byte) (*yaml.Node, findings.Findings) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, second yaml.Node
	switch err := dec.Decode(&doc); {
	case errors.Is(err, io.EOF):
		return nil, nil
	case err != nil:
		return nil, findings.Findings{syntaxFinding(file, err)}
	}
	switch err := dec.Decode(&second); {
	case errors.Is(err, io.EOF):
	case err != nil:
		return nil, findings.Findings{syntaxFinding(file, err)}
	default:
		return nil, findings.Findings{{File: file, Line: max(second.Line, 1), Column: max(second.Column, 1), Message: "second YAML document; only one is allowed"}}
	}
	if len(doc.Content) != 1 {
		return nil, nil
	}
	return doc.Content[0], nil
}

// syntaxFinding converts an error of the YAML parser, which gives the line only in
// its text.
func syntaxFinding(file string, err error) findings.Finding {
	f := findings.Finding{File: file, Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Message = m[2]
	}
	return f
}

// duplicateFields reports fields that occur more than once, which protoyaml
// accepts. The snake case and camel case forms of a name are the same field.
func duplicateFields(file string, n *yaml.Node) findings.Findings {
	var found findings.Findings
	if n.Kind == yaml.MappingNode {
		first := map[string]*yaml.Node{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			name := strings.ToLower(strings.ReplaceAll(key.Value, "_", ""))
			if prior, ok := first[name]; ok {
				found = append(found, findings.Finding{File: file, Line: key.Line, Column: key.Column,
					Message: "duplicate field " + strconv.Quote(key.Value) + ", first given at line " + strconv.Itoa(prior.Line)})
				continue
			}
			first[name] = key
		}
	}
	for _, c := range n.Content {
		found = append(found, duplicateFields(file, c)...)
	}
	return found
}

var decodeErrorPattern = regexp.MustCompile(`^(.*):(\d+):(\d+) (.*)$`)

// decodeFindings converts the joined errors of protoyaml into findings. The error
// type of protoyaml is not exported, so line and column are parsed from the text.
func decodeFindings(file string, err error) findings.Findings {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var found findings.Findings
		for _, e := range joined.Unwrap() {
			found = append(found, decodeFindings(file, e)...)
		}
		return found
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	f := findings.Finding{File: file, Line: 1, Column: 1, Message: first}
	if m := decodeErrorPattern.FindStringSubmatch(first); m != nil {
		f.Line, _ = strconv.Atoi(m[2])
		f.Column, _ = strconv.Atoi(m[3])
		f.Message = m[4]
	}
	return findings.Findings{f}
}

// FindingAt returns a finding for the field at the path. The elements of the path
// are field names (string) and list indexes (int). If the text does not contain
// the field, the finding has the position of the nearest enclosing field.
func (s *Source) FindingAt(message string, path ...any) findings.Finding {
	f := findings.Finding{Path: formatPath(path), Message: message}
	if s == nil {
		return f
	}
	f.File = s.File
	if s.hasText {
		f.Line, f.Column = 1, 1
	}
	n := s.root
	for _, step := range path {
		if n == nil {
			break
		}
		f.Line, f.Column = n.Line, n.Column
		n = childNode(n, step)
	}
	if n != nil {
		f.Line, f.Column = n.Line, n.Column
	}
	return f
}

// childNode returns the list element (int) or the value of the field (string)
// that step selects, or nil.
func childNode(n *yaml.Node, step any) *yaml.Node {
	switch step := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && step < len(n.Content) {
			return n.Content[step]
		}
	case string:
		if n.Kind != yaml.MappingNode {
			return nil
		}
		camelCase := jsonName(step)
		for i := 0; i+1 < len(n.Content); i += 2 {
			if k := n.Content[i].Value; k == step || k == camelCase {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

// jsonName returns the lower camel case form of a field name, which protoyaml
// accepts as well.
func jsonName(field string) string {
	var b strings.Builder
	upper := false
	for _, r := range field {
		if r == '_' {
			upper = true
			continue
		}
		if upper {
			b.WriteString(strings.ToUpper(string(r)))
		} else {
			b.WriteRune(r)
		}
		upper = false
	}
	return b.String()
}

// formatPath formats a path as in "services[0].sites[1].address".
func formatPath(path []any) string {
	var b strings.Builder
	for _, step := range path {
		switch step := step.(type) {
		case int:
			b.WriteString("[" + strconv.Itoa(step) + "]")
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(step)
		}
	}
	return b.String()
}
