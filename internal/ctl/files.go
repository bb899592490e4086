package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	"buf.build/go/protoyaml"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// Default file names of the lists.
const (
	defaultCallers = "callers.yaml"
	defaultPlans   = "plans.yaml"
)

// files holds the lists as read from the files. The list of a missing file is
// nil, and apply does not change that list.
type files struct {
	callers lists.CallerFile
	plans   lists.PlanFile
	// found are the findings of the parsers.
	found findings.Findings
	// data holds the content of each file by name, to update its base version.
	data map[string][]byte
}

// readFiles reads and parses the files of the caller list and the plan list. A
// missing file is an error if required, or if both are missing.
func readFiles(callers, plans string, required bool) (*files, error) {
	f := &files{data: map[string][]byte{}}
	read := func(name string) (bool, error) {
		data, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) && !required {
			return false, nil
		}
		if err != nil {
			return false, exitf(ExitUsage, "%w", err)
		}
		f.data[name] = data
		return true, nil
	}
	ok, err := read(callers)
	if err != nil {
		return nil, err
	}
	if ok {
		var found findings.Findings
		f.callers, found = lists.ParseCallers(callers, f.data[callers])
		f.found = append(f.found, found...)
	}
	if ok, err = read(plans); err != nil {
		return nil, err
	}
	if ok {
		var found findings.Findings
		f.plans, found = lists.ParsePlans(plans, f.data[plans])
		f.found = append(f.found, found...)
	}
	if len(f.data) == 0 {
		return nil, exitf(ExitUsage, "neither %s nor %s exists", callers, plans)
	}
	return f, nil
}

// overlay returns the content with the lists of the files in place of its own.
func (f *files) overlay(c lists.Content) lists.Content {
	if f.callers.List != nil {
		c.Callers = f.callers.List
	}
	if f.plans.List != nil {
		c.Plans = f.plans.List
	}
	return c
}

// validate returns the findings of the parsers and of the validation. The lists
// of missing files come from current.
func (f *files) validate(current lists.Content) findings.Findings {
	c := f.overlay(current)
	found := lists.Validate(lists.CallerFile{List: c.Callers, Source: f.callers.Source},
		lists.PlanFile{List: c.Plans, Source: f.plans.Source}, nil)
	return append(found, f.found...)
}

// reportFindings prints the findings and returns an error if there are any. For
// JSON output it prints nothing, as the error holds the findings.
func (e *env) reportFindings(found findings.Findings) error {
	if len(found) == 0 {
		return nil
	}
	found.Sort()
	if e.output == "json" {
		return &exitError{ExitInvalid, &findings.Error{Findings: found}}
	}
	fmt.Fprint(e.stdout, found)
	return exitf(ExitInvalid, "%d findings", len(found))
}

// readFilesAndConfig reads the files and the current configuration, and reports
// the findings of both together.
func (e *env) readFilesAndConfig(ctx context.Context) (*files, *pb.GetConfigResponse, error) {
	f, err := readFiles(e.callers, e.plans, false)
	if err != nil {
		return nil, nil, err
	}
	current, err := e.client.config(ctx)
	if err != nil {
		return nil, nil, err
	}
	return f, current, e.reportFindings(f.validate(contentOf(current)))
}

func contentOf(r *pb.GetConfigResponse) lists.Content {
	return lists.Content{Callers: r.GetCallers(), Plans: r.GetPlans(), Marks: r.GetMarks()}
}

// baseVersionLine matches the comment of baseVersionComment.
var baseVersionLine = regexp.MustCompile(`(?m)^# cuminshift base version: (\d+)$`)

// baseVersionComment returns the comment that records, in an exported file, the
// version that the file is based on.
func baseVersionComment(version uint64) string {
	return "# cuminshift base version: " + strconv.FormatUint(version, 10)
}

// baseVersion returns the version that the files are based on: the value of the
// flag or, if that is empty, the version recorded in the files. It is required
// as soon as there is a configuration, that is, current is not 0. If it were
// guessed, outdated files would revert the edits of others without a conflict.
func (f *files) baseVersion(flag string, current uint64) (uint64, error) {
	if flag != "" {
		base, err := strconv.ParseUint(flag, 10, 64)
		if err != nil {
			return 0, exitf(ExitUsage, "--base must be a version number, got %q", flag)
		}
		return base, nil
	}
	base, found := uint64(0), false
	for name, data := range f.data {
		m := baseVersionLine.FindSubmatch(data)
		if m == nil {
			if current == 0 {
				continue
			}
			return 0, exitf(ExitUsage, "%s does not record the version that it is based on; run cuminctl export, or check cuminctl diff and set --base %d", name, current)
		}
		v, err := strconv.ParseUint(string(m[1]), 10, 64)
		if err != nil || found && v != base {
			return 0, exitf(ExitUsage, "the files are based on different versions; set --base")
		}
		base, found = v, true
	}
	return base, nil
}

// updateBaseVersion records the new version in the files if they hold exactly
// its lists. They do not if the edit was rebased on edits of others; then the
// operator has to export.
func (e *env) updateBaseVersion(ctx context.Context, f *files, version uint64) error {
	current, err := e.client.config(ctx)
	if err != nil {
		return err
	}
	content := contentOf(current)
	if current.GetRoot().GetVersion() < version || len(lists.Diff(content, f.overlay(content))) > 0 {
		e.printProgress("the files lack changes made by others; run cuminctl export before the next edit\n")
		return nil
	}
	for name, data := range f.data {
		if err := writeFile(name, withBaseVersion(data, current.GetRoot().GetVersion())); err != nil {
			return err
		}
	}
	return nil
}

// withBaseVersion returns the data with the version recorded in it.
func withBaseVersion(data []byte, version uint64) []byte {
	line := []byte(baseVersionComment(version))
	if baseVersionLine.Match(data) {
		return baseVersionLine.ReplaceAll(data, line)
	}
	return append(append(line, '\n'), data...)
}

// writeFile replaces the file atomically, so that a crash does not leave a
// partial file.
func writeFile(name string, data []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(name), ".cuminctl-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(data)
	err = errors.Join(err, tmp.Chmod(0o644), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), name)
}

func runExport(ctx context.Context, e *env) error {
	current, err := e.client.config(ctx)
	if err != nil {
		return err
	}
	version := current.GetRoot().GetVersion()
	for name, list := range map[string]proto.Message{e.callers: current.GetCallers(), e.plans: current.GetPlans()} {
		data, err := protoyaml.MarshalOptions{Indent: 2, UseProtoNames: true}.Marshal(list)
		if err != nil {
			return err
		}
		data = withBaseVersion(data, version)
		if old, err := os.ReadFile(name); err == nil && !e.force && !bytes.Equal(old, data) && !baseVersionLine.Match(old) {
			return exitf(ExitUsage, "%s exists and was not exported; use --force to overwrite it", name)
		}
		if err := writeFile(name, data); err != nil {
			return err
		}
	}
	e.warnIfNotFromStore(current)
	if e.output == "json" {
		printJSON(e.stdout, map[string]any{"version": version, "files": []string{e.callers, e.plans}})
	} else {
		fmt.Fprintf(e.stdout, "wrote version %d to %s and %s\n", version, e.callers, e.plans)
	}
	return nil
}
