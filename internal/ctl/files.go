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

const (
	defaultCallers = "callers.yaml"
	defaultPlans   = "plans.yaml"
)

// files are the lists as read. An absent file leaves its part unset, and apply
// leaves that part as it is.
type files struct {
	callers lists.CallerFile
	plans   lists.PlanFile
	found   findings.Findings
	// data by file name, for the update of the base version.
	data map[string][]byte
}

func readFiles(callers, plans string, both bool) (*files, error) {
	f := &files{data: map[string][]byte{}}
	read := func(name string) (bool, error) {
		data, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) && !both {
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

// over returns the content with the parts that the files hold.
func (f *files) over(c lists.Content) lists.Content {
	if f.callers.List != nil {
		c.Callers = f.callers.List
	}
	if f.plans.List != nil {
		c.Plans = f.plans.List
	}
	return c
}

// check returns the findings of form and content; parts that the files lack
// come from current.
func (f *files) check(current lists.Content) findings.Findings {
	c := f.over(current)
	found := lists.Validate(lists.CallerFile{List: c.Callers, Source: f.callers.Source},
		lists.PlanFile{List: c.Plans, Source: f.plans.Source}, nil)
	return append(found, f.found...)
}

// report prints findings and returns the failure, if any.
func (e *env) report(found findings.Findings) error {
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

// filesAndConfig reads the files and the current configuration and checks them.
func (e *env) filesAndConfig(ctx context.Context) (*files, *pb.GetConfigResponse, error) {
	f, err := readFiles(e.callers, e.plans, false)
	if err != nil {
		return nil, nil, err
	}
	current, err := e.client.config(ctx)
	if err != nil {
		return nil, nil, err
	}
	return f, current, e.report(f.check(contentOf(current)))
}

func contentOf(r *pb.GetConfigResponse) lists.Content {
	return lists.Content{Callers: r.GetCallers(), Plans: r.GetPlans(), Marks: r.GetMarks()}
}

var baseLine = regexp.MustCompile(`(?m)^# cuminshift base version: (\d+)$`)

func baseComment(version uint64) string {
	return "# cuminshift base version: " + strconv.FormatUint(version, 10)
}

// baseVersion returns the version that the files were derived from. It is
// required once there is a version: with a guess, stale files would undo the
// edits of others without a conflict.
func (f *files) baseVersion(flag string, current uint64) (uint64, error) {
	if flag != "" {
		base, err := strconv.ParseUint(flag, 10, 64)
		if err != nil {
			return 0, exitf(ExitUsage, "--base is a version number, not %q", flag)
		}
		return base, nil
	}
	base, seen := uint64(0), false
	for name, data := range f.data {
		m := baseLine.FindSubmatch(data)
		if m == nil {
			if current == 0 {
				continue
			}
			return 0, exitf(ExitUsage, "%s does not say which version it was derived from; run cuminctl export, or look at cuminctl diff and give --base %d", name, current)
		}
		v, err := strconv.ParseUint(string(m[1]), 10, 64)
		if err != nil || seen && v != base {
			return 0, exitf(ExitUsage, "the files were derived from different versions; give --base")
		}
		base, seen = v, true
	}
	return base, nil
}

// updateBase notes the new version in the files when they hold exactly its
// lists. After a rebase they do not, and the operator has to export.
func (e *env) updateBase(ctx context.Context, f *files, version uint64) error {
	current, err := e.client.config(ctx)
	if err != nil {
		return err
	}
	now := contentOf(current)
	if current.GetRoot().GetVersion() < version || len(lists.Diff(now, f.over(now))) > 0 {
		e.progress("the files lack changes that others made; run cuminctl export before the next edit\n")
		return nil
	}
	for name, data := range f.data {
		if err := writeFile(name, withBase(data, current.GetRoot().GetVersion())); err != nil {
			return err
		}
	}
	return nil
}

func withBase(data []byte, version uint64) []byte {
	line := []byte(baseComment(version))
	if baseLine.Match(data) {
		return baseLine.ReplaceAll(data, line)
	}
	return append(append(line, '\n'), data...)
}

// writeFile replaces the file as a whole, so that a crash leaves the old one.
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
		data = withBase(data, version)
		if old, err := os.ReadFile(name); err == nil && !e.force && !bytes.Equal(old, data) && !baseLine.Match(old) {
			return exitf(ExitUsage, "%s exists and was not exported; give --force to overwrite it", name)
		}
		if err := writeFile(name, data); err != nil {
			return err
		}
	}
	e.noteMemory(current)
	if e.output == "json" {
		printJSON(e.stdout, map[string]any{"version": version, "files": []string{e.callers, e.plans}})
	} else {
		fmt.Fprintf(e.stdout, "wrote version %d to %s and %s\n", version, e.callers, e.plans)
	}
	return nil
}
