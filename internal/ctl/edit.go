package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// progressPollInterval is the pause between status requests while an edit comes
// into force.
const progressPollInterval = 200 * time.Millisecond

// summaryWait is how long awaitInForce waits for a data centre without a
// summary. Instances know of no other data centre before their first
// configuration; only then do they exchange summaries. Without the wait, the
// first edit was reported as in force before any other data centre had been
// asked. Instances consider a data centre unreachable after the same 3 s.
const summaryWait = 3 * time.Second

func runValidate(_ context.Context, e *env) error {
	files, err := readFiles(e.callers, e.plans, true)
	if err != nil {
		return err
	}
	if err := e.reportFindings(files.validate(lists.Content{})); err != nil {
		return err
	}
	if e.output == "json" {
		printJSON(e.stdout, map[string]any{"valid": true})
	} else {
		fmt.Fprintf(e.stdout, "valid: %d callers, %d plans, %d services\n", len(files.callers.List.GetCallers()),
			len(files.plans.List.GetPlans()), len(files.plans.List.GetServices()))
	}
	return nil
}

func runDiff(ctx context.Context, e *env) error {
	files, current, err := e.readFilesAndConfig(ctx)
	if err != nil {
		return err
	}
	changes := lists.Diff(contentOf(current), files.overlay(contentOf(current)))
	base, err := files.baseVersion(e.base, current.GetRoot().GetVersion())
	if err != nil && e.base != "" {
		return err
	}
	if e.output == "json" {
		printJSON(e.stdout, map[string]any{"version": current.GetRoot().GetVersion(), "base": base, "changes": changes})
		return nil
	}
	e.warnIfNotFromStore(current)
	fmt.Fprintf(e.stdout, "compared with version %d; the files are based on version %d\n", current.GetRoot().GetVersion(), base)
	if base != current.GetRoot().GetVersion() {
		fmt.Fprintln(e.stdout, "changes accepted after that version are shown as if the files reverted them; apply keeps them")
	}
	printChanges(e.stdout, changes)
	return nil
}

func runApply(ctx context.Context, e *env) error {
	files, current, err := e.readFilesAndConfig(ctx)
	if err != nil {
		return err
	}
	base, err := files.baseVersion(e.base, current.GetRoot().GetVersion())
	if err != nil {
		return err
	}
	req := &pb.EditRequest{BaseVersion: base, Callers: files.callers.List, Plans: files.plans.List}
	resp, err := e.submit(ctx, req, dataCentresOf(files.overlay(contentOf(current)).Plans))
	if err != nil || e.dryRun {
		return err
	}
	return e.updateBaseVersion(ctx, files, resp.GetVersion())
}

// submit sends the edit and prints the result. Unless it is a dry run, it waits
// until the edit is in force in the data centres.
func (e *env) submit(ctx context.Context, req *pb.EditRequest, dataCentres []string) (*pb.EditResponse, error) {
	if e.operator == "" {
		return nil, exitf(ExitUsage, "--operator is required")
	}
	req.EditId, req.Operator, req.Summary, req.DryRun = e.editID, e.operator, e.summary, e.dryRun
	if req.EditId == "" {
		req.EditId = rand.Text()
	}
	resp, err := e.client.edit(ctx, req, e.editID != "")
	if err != nil {
		return nil, err
	}
	if e.output != "json" {
		printChanges(e.stdout, resp.GetChanges())
	}
	if e.dryRun {
		if e.output == "json" {
			printJSON(e.stdout, map[string]any{"dryRun": true, "version": resp.GetVersion(), "changes": resp.GetChanges()})
		} else {
			fmt.Fprintf(e.stdout, "dry run against version %d; nothing was changed\n", resp.GetVersion())
		}
		return resp, nil
	}
	if len(resp.GetChanges()) == 0 && e.editID == "" {
		e.printProgress("no changes to apply; the newest version is %d\n", resp.GetVersion())
	} else {
		e.printProgress("accepted as version %d (edit %s)\n", resp.GetVersion(), req.GetEditId())
	}
	unreachable, err := e.awaitInForce(ctx, resp.GetVersion(), dataCentres)
	if err != nil {
		return nil, err
	}
	if e.output == "json" {
		printJSON(e.stdout, map[string]any{"version": resp.GetVersion(), "editId": req.GetEditId(),
			"changes": resp.GetChanges(), "inForce": true, "unreachable": unreachable})
	}
	return resp, nil
}

// printProgress prints a line about the progress of a command, unless the
// output is JSON.
func (e *env) printProgress(format string, args ...any) {
	if e.output != "json" {
		fmt.Fprintf(e.stdout, format, args...)
	}
}

// awaitInForce waits until all live instances of all reachable data centres
// have reported the version, and returns the unreachable data centres.
// dataCentres are the data centres that are expected to report.
func (e *env) awaitInForce(ctx context.Context, version uint64, dataCentres []string) (unreachable []string, err error) {
	deadline, start := time.Now().Add(e.wait), time.Now()
	shown := ""
	for {
		r := rollout{}
		if status, err := e.client.status(ctx); err == nil {
			r = rolloutOf(status, version, dataCentres, time.Since(start) < summaryWait)
		} else {
			r.waiting = []string{"an entry instance to answer"}
		}
		if len(r.waiting) == 0 {
			e.printProgress("version %d is in force after %.1f s\n", version, time.Since(start).Seconds())
			if len(r.unreachable) > 0 {
				e.printProgress("unreachable, not confirmed: %s\n", joinNames(r.unreachable))
			}
			return r.unreachable, nil
		}
		if line := joinNames(r.waiting); line != shown {
			e.printProgress("waiting for %s\n", line)
			shown = line
		}
		if time.Now().After(deadline) {
			return nil, exitf(ExitNotInForce, "version %d was accepted, but after %v it is not in force at: %s", version, e.wait, joinNames(r.waiting))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(progressPollInterval):
		}
	}
}

// rollout tells where a version is not in force yet. unreachable names data
// centres. waiting names instances and data centres, or says in a free text
// what is waited for.
type rollout struct {
	waiting, unreachable []string
}

// rolloutOf returns the instances and data centres that do not have the
// version. A data centre whose summary counts no live instances is unreachable.
// One without a summary is waited for if awaitSummaries, and is unreachable
// otherwise.
func rolloutOf(s *pb.StatusResponse, version uint64, dataCentres []string, awaitSummaries bool) rollout {
	var r rollout
	for _, i := range s.GetInstances() {
		if i.GetState() != pb.InstanceState_INSTANCE_STATE_LEAVING && i.GetConfigVersion() < version {
			r.waiting = append(r.waiting, i.GetInstance())
		}
	}
	if len(s.GetInstances()) == 0 && s.GetConfigVersion() < version {
		r.waiting = append(r.waiting, s.GetInstance())
	}
	for _, dc := range s.GetDataCentres() {
		switch {
		case dc.GetDataCentre() == s.GetDataCentre():
		case dc.GetLiveInstances() == 0:
			r.unreachable = append(r.unreachable, dc.GetDataCentre())
		case dc.GetInForceVersion() < version:
			r.waiting = append(r.waiting, dc.GetDataCentre())
		}
	}
	for _, name := range dataCentres {
		hasSummary := slices.ContainsFunc(s.GetDataCentres(), func(dc *pb.DataCentreSummary) bool { return dc.GetDataCentre() == name })
		switch {
		case hasSummary || name == s.GetDataCentre():
		case awaitSummaries:
			r.waiting = append(r.waiting, name)
		default:
			r.unreachable = append(r.unreachable, name)
		}
	}
	return r
}

// dataCentresOf returns the data centres in which any service has a site,
// sorted.
func dataCentresOf(plans *pb.PlanList) []string {
	var out []string
	for _, service := range plans.GetServices() {
		for _, site := range service.GetSites() {
			out = append(out, site.GetDataCentre())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func runMark(ctx context.Context, e *env) error {
	if e.markState != "in" && e.markState != "out" {
		return exitf(ExitUsage, "mark: the last argument must be in or out, got %q", e.markState)
	}
	current, err := e.client.config(ctx)
	if err != nil {
		return err
	}
	marks := &pb.Marks{}
	if current.GetMarks() != nil {
		marks = proto.CloneOf(current.GetMarks())
	}
	names := map[string]*[]string{"data-centre": &marks.DataCentresOut, "instance": &marks.InstancesOut}[e.markKind]
	if names == nil {
		return exitf(ExitUsage, "mark: the first argument must be data-centre or instance, got %q", e.markKind)
	}
	wasOut := slices.Contains(*names, e.markName)
	*names = slices.DeleteFunc(*names, func(n string) bool { return n == e.markName })
	if e.markState == "out" {
		*names = append(*names, e.markName)
	}
	if wasOut == (e.markState == "out") {
		e.printProgress("%s is already marked %s\n", e.markName, e.markState)
	}
	if e.summary == "" {
		e.summary = fmt.Sprintf("mark %s %s %s", e.markKind, e.markName, e.markState)
	}
	_, err = e.submit(ctx, &pb.EditRequest{BaseVersion: current.GetRoot().GetVersion(), Marks: marks}, dataCentresOf(current.GetPlans()))
	return err
}
