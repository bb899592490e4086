package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/burn"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/texttable"
)

// maxNamesShown bounds the names in a line, so that it stays readable when
// hundreds of instances lag.
const maxNamesShown = 8

// joinNames lists the names, or the first ones and the number of the others.
func joinNames(names []string) string {
	if len(names) > maxNamesShown {
		return fmt.Sprintf("%s and %d others", strings.Join(names[:maxNamesShown], ", "), len(names)-maxNamesShown)
	}
	return strings.Join(names, ", ")
}

func formatTime(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02 15:04:05 UTC")
}

// printJSON prints v as indented JSON.
func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// Encoding maps and strings does not fail, and an error of the writer
	// cannot be reported, since the writer is the output.
	_ = enc.Encode(v)
}

// printMessage prints a message as JSON, with its unset fields.
func printMessage(w io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

func printChanges(w io.Writer, changes []string) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}

// warnIfNotFromStore prints a warning if the store is unavailable and the
// configuration is the one that the instance holds.
func (e *env) warnIfNotFromStore(r *pb.GetConfigResponse) {
	if !r.GetFromStore() {
		fmt.Fprintf(e.stderr, "the store is unavailable; this is version %d as held by the entry instance\n", r.GetRoot().GetVersion())
	}
}

func runStatus(ctx context.Context, e *env) error {
	s, err := e.client.status(ctx)
	if err != nil {
		return err
	}
	if e.output == "json" {
		return printMessage(e.stdout, s)
	}
	if !s.GetStoreReachable() {
		fmt.Fprintf(e.stdout, "THE STORE IS UNAVAILABLE: edits are refused; version %d stays in force\n", s.GetConfigVersion())
	}
	fmt.Fprintf(e.stdout, "instance %s in %s: configuration %d, generation %d, publisher %s\n\n",
		s.GetInstance(), s.GetDataCentre(), s.GetConfigVersion(), s.GetGeneration(), s.GetPublisher())
	texttable.Write(e.stdout, instanceRows(s))
	fmt.Fprintln(e.stdout)
	texttable.Write(e.stdout, dataCentreRows(s))
	fmt.Fprintln(e.stdout)
	texttable.Write(e.stdout, serverRows(s))
	return nil
}

func instanceRows(s *pb.StatusResponse) [][]string {
	rows := [][]string{{"INSTANCE", "STATE", "CONFIG", "GENERATION", "UPTIME", "LAST HEARD"}}
	for _, i := range s.GetInstances() {
		rows = append(rows, []string{i.GetInstance(), enumText(i.GetState().String(), "INSTANCE_STATE_"),
			fmt.Sprint(i.GetConfigVersion()), fmt.Sprint(i.GetGeneration()),
			(time.Duration(i.GetUptimeS()) * time.Second).String(), fmt.Sprintf("%d ms ago", i.GetLastHeardMs())})
	}
	return rows
}

func dataCentreRows(s *pb.StatusResponse) [][]string {
	rows := [][]string{{"DATA CENTRE", "CONFIG", "IN FORCE", "LIVE", "LAGGING"}}
	for _, dc := range s.GetDataCentres() {
		lagging := joinNames(dc.GetLagging())
		if dc.GetLiveInstances() == 0 {
			lagging = "unreachable"
		}
		rows = append(rows, []string{dc.GetDataCentre(), fmt.Sprint(dc.GetConfigVersion()),
			fmt.Sprint(dc.GetInForceVersion()), fmt.Sprint(dc.GetLiveInstances()), lagging})
	}
	return rows
}

func serverRows(s *pb.StatusResponse) [][]string {
	rows := [][]string{{"SERVER", "CONDITION", "FLOWS", "BUSY", "ALLOWED"}}
	for _, v := range s.GetServers() {
		rows = append(rows, []string{v.GetService() + "/" + v.GetServer(), enumText(v.GetCondition().String(), "SERVER_CONDITION_"),
			fmt.Sprint(v.GetOpenFlows()), fmt.Sprint(v.GetBusySlots()), fmt.Sprint(v.GetAllowedSlots())})
	}
	return rows
}

// enumText returns the name of an enum value without its prefix, in lower case.
func enumText(name, prefix string) string { return strings.ToLower(strings.TrimPrefix(name, prefix)) }

func runExplain(ctx context.Context, e *env) error {
	r, err := e.client.explain(ctx, e.subject)
	if err != nil {
		return err
	}
	if e.output == "json" {
		return printMessage(e.stdout, r)
	}
	for _, line := range r.GetLines() {
		fmt.Fprintln(e.stdout, line)
	}
	if len(r.GetJournal()) > 0 {
		rows := [][]string{{"TIME", "PART", "EVENT", "COUNT", "CAUSE"}}
		for _, j := range r.GetJournal() {
			rows = append(rows, []string{formatTime(j.GetUnixMs()), j.GetPart(), j.GetEvent(), fmt.Sprint(j.GetCount()), j.GetCause()})
		}
		fmt.Fprintln(e.stdout)
		texttable.Write(e.stdout, rows)
	}
	return nil
}

func runHistory(ctx context.Context, e *env) error {
	r, err := e.client.config(ctx)
	if err != nil {
		return err
	}
	edits := slices.Clone(r.GetRoot().GetEdits())
	slices.Reverse(edits)
	if e.output == "json" {
		return printMessage(e.stdout, &pb.Root{Version: r.GetRoot().GetVersion(), Edits: edits})
	}
	e.warnIfNotFromStore(r)
	rows := [][]string{{"VERSION", "ACCEPTED", "OPERATOR", "SUMMARY", "EDIT"}}
	for _, x := range edits {
		rows = append(rows, []string{fmt.Sprint(x.GetVersion()), formatTime(x.GetAcceptedUnixMs()), x.GetOperator(), x.GetSummary(), x.GetId()})
	}
	texttable.Write(e.stdout, rows)
	return nil
}

func runBurn(ctx context.Context, e *env) error {
	r, err := e.client.burn(ctx)
	if err != nil {
		return err
	}
	if e.output == "json" {
		return printMessage(e.stdout, r)
	}
	texttable.Write(e.stdout, burn.Rows(r.GetLines()))
	return nil
}
