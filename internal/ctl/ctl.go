// Package ctl is the logic of cuminctl, the operators' command line.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"cuminshift/internal/findings"
)

// Exit codes; they are listed in the help text.
const (
	ExitOK               = 0
	ExitFailed           = 1
	ExitUsage            = 2
	ExitInvalid          = 3
	ExitConflict         = 4
	ExitStoreUnavailable = 5
	ExitOutcomeUnknown   = 6
	ExitNotInForce       = 7
	ExitNoAnswer         = 8
)

const exitHelp = `
  Exit codes:
    0  done; for apply and mark: in force
    1  failed for another reason
    2  wrong usage
    3  the lists are not valid
    4  conflict with another edit; nothing was changed
    5  the store is out; nothing was changed
    6  outcome unknown; repeat with the --edit-id that is shown
    7  accepted, but not in force everywhere in time
    8  no entry instance answered`

const exampleHelp = `
  Examples:
    cuminctl --entry 127.0.0.1:7400 export
    cuminctl validate --callers callers.yaml --plans plans.yaml
    cuminctl --entry 127.0.0.1:7400 --entry 127.0.0.2:7400 apply --operator ana --summary "more slots"
    cuminctl --entry 127.0.0.1:7400 mark data-centre litoral-norte out --operator ana
    cuminctl --entry 127.0.0.1:7400 status --output json`

const (
	defaultEntry = "127.0.0.1:7400"
	// defaultWait covers the 6 s in which an edit comes into force, twice for an
	// edit in two steps, with time to spare.
	defaultWait = 30 * time.Second
)

// options are the flags of all commands.
type options struct {
	entries                       []string
	output                        string
	callers, plans                string
	operator, summary, editID     string
	base                          string
	dryRun, force                 bool
	wait                          time.Duration
	markKind, markName, markState string
	subject                       string
	certificate, key, ca          string
}

// env is what a command works with.
type env struct {
	options
	stdout, stderr io.Writer
	client         *client
}

// exitError gives the exit code of a failure.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *env) error
}

// Main runs the command line without the program name and returns the exit
// code. Wrong usage ends the process with ExitUsage, as flaggy does.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	e := &env{stdout: stdout, stderr: stderr}
	parser, commands := newParser(&e.options)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "cuminctl:", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return e.printError(e.runCommand(ctx, c))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func (e *env) runCommand(ctx context.Context, c command) error {
	if e.output != "table" && e.output != "json" {
		return exitf(ExitUsage, "--output is table or json, not %q", e.output)
	}
	if len(e.entries) == 0 {
		e.entries = []string{defaultEntry}
	}
	tlsConfig, err := e.tlsConfig()
	if err != nil {
		return err
	}
	e.client = newClient(e.entries, tlsConfig)
	return c.run(ctx, e)
}

// printError prints the error and returns its code.
func (e *env) printError(err error) int {
	if err == nil {
		return ExitOK
	}
	code := ExitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	if e.output == "json" {
		printJSON(e.stdout, errorDocument(err, code))
	} else {
		fmt.Fprintln(e.stderr, "cuminctl:", strings.TrimRight(err.Error(), "\n"))
	}
	return code
}

// errorDocument is the one JSON document that a failed command prints.
func errorDocument(err error, code int) map[string]any {
	document := map[string]any{"error": strings.TrimRight(err.Error(), "\n"), "exit": code}
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		document["error"], document["valid"], document["findings"] = fmt.Sprintf("%d findings", len(invalid.Findings)), false, invalid.Findings
	}
	return document
}

func newParser(o *options) (*flaggy.Parser, []command) {
	o.output, o.callers, o.plans, o.wait, o.operator = "table", defaultCallers, defaultPlans, defaultWait, os.Getenv("USER")
	p := flaggy.NewParser("cuminctl")
	p.Description = "Edits the lists and marks of cuminshift and shows its state."
	p.DisableShowVersionWithVersion()
	p.AdditionalHelpAppend = exitHelp + "\n" + exampleHelp
	p.StringSlice(&o.entries, "e", "entry", "operator address host:port of an entry instance; repeatable, tried in order")
	p.String(&o.output, "o", "output", "table or json")
	p.String(&o.certificate, "", "tls-certificate", "file of the operator's certificate, for entry instances with TLS")
	p.String(&o.key, "", "tls-key", "file of the certificate's key")
	p.String(&o.ca, "", "tls-ca", "file of the authority that signed the instances' certificates")
	var commands []command
	addCommand := func(name, description, example string, run func(context.Context, *env) error) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = description
		s.AdditionalHelpAppend = exitHelp + "\n\n  Example:\n    cuminctl " + example
		p.AttachSubcommand(s, 1)
		commands = append(commands, command{s, run})
		return s
	}
	addFileFlags := func(s *flaggy.Subcommand) {
		s.String(&o.callers, "", "callers", "file of the caller list")
		s.String(&o.plans, "", "plans", "file of the plan list")
	}
	addEditFlags := func(s *flaggy.Subcommand) {
		s.String(&o.operator, "", "operator", "who makes the edit")
		s.String(&o.summary, "", "summary", "one line for the history")
		s.String(&o.editID, "", "edit-id", "id of an edit to repeat")
		s.Bool(&o.dryRun, "", "dry-run", "show the changes only")
		s.Duration(&o.wait, "", "wait", "time to wait until the edit is in force")
	}

	addFileFlags(addCommand("validate", "Check the lists and report all findings.", "validate --callers callers.yaml --plans plans.yaml", runValidate))
	s := addCommand("export", "Write the current lists to the files, with their version.", "export --callers callers.yaml --plans plans.yaml", runExport)
	addFileFlags(s)
	s.Bool(&o.force, "", "force", "overwrite files that hold other lists")
	s = addCommand("diff", "Show what apply would change.", "diff", runDiff)
	addFileFlags(s)
	s.String(&o.base, "", "base", "version the lists were derived from; by default as noted in the files")
	s = addCommand("apply", "Apply the lists and wait until they are in force.", "apply --operator ana --summary \"more slots\"", runApply)
	addFileFlags(s)
	addEditFlags(s)
	s.String(&o.base, "", "base", "version the lists were derived from; by default as noted in the files")
	s = addCommand("mark", "Mark a data centre or an instance in or out of service.", "mark data-centre litoral-norte out --operator ana", runMark)
	s.AddPositionalValue(&o.markKind, "kind", 1, true, "data-centre or instance")
	s.AddPositionalValue(&o.markName, "name", 2, true, "name of the data centre or instance")
	s.AddPositionalValue(&o.markState, "to", 3, true, "in or out")
	addEditFlags(s)
	addCommand("status", "Show versions, instances, servers and the store.", "status", runStatus)
	s = addCommand("explain", "Explain a caller, an address or a flow.", "explain \"10.1.2.3:4000 127.0.1.1:9000\"", runExplain)
	s.AddPositionalValue(&o.subject, "subject", 1, true, "caller name, address, or \"caller-ip:port service-ip:port\"")
	addCommand("history", "Show the accepted edits, newest first.", "history", runHistory)
	addCommand("burn", "Show the service-level burn report.", "burn", runBurn)
	return p, commands
}
