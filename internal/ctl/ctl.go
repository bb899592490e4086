// Package ctl implements cuminctl, the command line tool for operators.
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

// Exit codes. exitHelp describes them.
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
    5  the store is unavailable; nothing was changed
    6  outcome unknown; repeat with the --edit-id that is shown
    7  accepted, but not in force everywhere within --wait
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
	// defaultWait is more than twice the 6 s in which an edit comes into force,
	// since an edit may have two steps.
	defaultWait = 30 * time.Second
)

// options holds the flags and arguments of all commands.
type options struct {
	// entries are operator addresses, host:port.
	entries []string
	// output is "table" or "json".
	output string
	// callers and plans are file names.
	callers, plans string
	// operator and summary are free texts. If editID is empty, a new one is
	// generated.
	operator, summary, editID string
	// base is a version number. If it is empty, the version is read from the
	// files.
	base          string
	dryRun, force bool
	wait          time.Duration
	// markKind is "data-centre" or "instance", markState is "in" or "out".
	markKind, markName, markState string
	// subject is a caller name, an address, or the two addresses of a flow.
	subject string
	// certificate, key and ca are file names, empty without TLS.
	certificate, key, ca string
}

// env holds what a command runs with: its options, outputs and client.
type env struct {
	options
	stdout, stderr io.Writer
	client         *client
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *env) error
}

// Main runs a command line and returns the exit code. args does not include the
// program name. On wrong usage flaggy may end the process, with code ExitUsage.
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
		return exitf(ExitUsage, "--output must be table or json, got %q", e.output)
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

// printError prints the error, if any, and returns the exit code.
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

// errorDocument returns the JSON document that a failed command prints.
func errorDocument(err error, code int) map[string]any {
	document := map[string]any{"error": strings.TrimRight(err.Error(), "\n"), "exit": code}
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		document["error"], document["valid"], document["findings"] = fmt.Sprintf("%d findings", len(invalid.Findings)), false, invalid.Findings
	}
	return document
}

// newParser returns a parser that stores flags and arguments in o, and the
// commands. It sets the defaults of o.
func newParser(o *options) (*flaggy.Parser, []command) {
	o.output, o.callers, o.plans, o.wait, o.operator = "table", defaultCallers, defaultPlans, defaultWait, os.Getenv("USER")
	p := flaggy.NewParser("cuminctl")
	p.Description = "Edits the lists and marks of cuminshift and shows its state."
	p.DisableShowVersionWithVersion()
	p.AdditionalHelpAppend = exitHelp + "\n" + exampleHelp
	p.StringSlice(&o.entries, "e", "entry", "operator address host:port of an entry instance; repeatable, tried in order")
	p.String(&o.output, "o", "output", "table or json")
	p.String(&o.certificate, "", "tls-certificate", "certificate file of the operator, for entry instances with TLS")
	p.String(&o.key, "", "tls-key", "key file of the certificate")
	p.String(&o.ca, "", "tls-ca", "file with the CA certificates for the entry instances")
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
		s.String(&o.callers, "", "callers", "file with the caller list")
		s.String(&o.plans, "", "plans", "file with the plan list")
	}
	addEditFlags := func(s *flaggy.Subcommand) {
		s.String(&o.operator, "", "operator", "name of the operator who makes the edit")
		s.String(&o.summary, "", "summary", "one-line description of the edit for the history")
		s.String(&o.editID, "", "edit-id", "id of the edit to repeat")
		s.Bool(&o.dryRun, "", "dry-run", "only show the changes")
		s.Duration(&o.wait, "", "wait", "longest time to wait until the edit is in force")
	}

	addFileFlags(addCommand("validate", "Check the lists and report all findings.", "validate --callers callers.yaml --plans plans.yaml", runValidate))
	s := addCommand("export", "Write the current lists to the files, with their version.", "export --callers callers.yaml --plans plans.yaml", runExport)
	addFileFlags(s)
	s.Bool(&o.force, "", "force", "overwrite files that were not exported")
	s = addCommand("diff", "Show what apply would change.", "diff", runDiff)
	addFileFlags(s)
	s.String(&o.base, "", "base", "version that the lists are based on; by default the version recorded in the files")
	s = addCommand("apply", "Apply the lists and wait until they are in force.", "apply --operator ana --summary \"more slots\"", runApply)
	addFileFlags(s)
	addEditFlags(s)
	s.String(&o.base, "", "base", "version that the lists are based on; by default the version recorded in the files")
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
