package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"cuminshift/internal/config"
	"cuminshift/internal/editerr"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/storeclient"
)

// fakeInstance serves the operator interface of an entry instance, backed by an
// in-memory store.
type fakeInstance struct {
	cuminshiftv1connect.UnimplementedOperatorHandler
	mu      sync.Mutex
	objects map[string]*pb.GetResponse
	// down makes reads of the store fail.
	down bool
	// lagging makes the status show an instance without the configuration.
	lagging bool
}

func (e *fakeInstance) Get(_ context.Context, key string) ([]byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, 0, &storeclient.UnavailableError{Cause: errors.New("down")}
	}
	return e.objects[key].GetValue(), e.objects[key].GetVersion(), nil
}

func (e *fakeInstance) Put(_ context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := e.objects[key].GetVersion()
	if *ifVersion != version {
		return 0, &storeclient.VersionMismatchError{Key: key}
	}
	e.objects[key] = &pb.GetResponse{Version: version + 1, Value: value}
	return version + 1, nil
}

func (e *fakeInstance) GetConfig(context.Context, *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	root, err := config.DecodeRoot(e.objects[config.RootKey].GetValue())
	if err != nil {
		return nil, err
	}
	c, err := config.Assemble(root.GetShards(), func(hash string) ([]byte, bool) {
		o, ok := e.objects[config.ShardKey(hash)]
		return o.GetValue(), ok
	})
	return connect.NewResponse(&pb.GetConfigResponse{Root: root, Callers: c.Callers, Plans: c.Plans, Marks: c.Marks, FromStore: !e.down}), err
}

func (e *fakeInstance) Edit(ctx context.Context, r *connect.Request[pb.EditRequest]) (*connect.Response[pb.EditResponse], error) {
	m := r.Msg
	editor := config.NewEditor(config.EditorConfig{Deadline: time.Now().Add(500 * time.Millisecond), Rand: rand.New(rand.NewPCG(1, 2))},
		config.Edit{ID: m.GetEditId(), Operator: m.GetOperator(), Summary: m.GetSummary(), BaseVersion: m.GetBaseVersion(),
			Callers: m.GetCallers(), Plans: m.GetPlans(), Marks: m.GetMarks(), DryRun: m.GetDryRun()})
	done, err := storeclient.RunEdit(ctx, e, editor, func(context.Context) uint64 { return 0 })
	if err != nil {
		return nil, editerr.Encode(err)
	}
	return connect.NewResponse(&pb.EditResponse{Version: done.Version, Changes: done.Changes}), nil
}

func (e *fakeInstance) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	version := e.objects[config.RootKey].GetVersion()
	s := &pb.StatusResponse{Instance: "e1", DataCentre: "norte", ConfigVersion: version, StoreReachable: !e.down,
		Instances:   []*pb.InstanceStatus{{Instance: "e1", ConfigVersion: version}, {Instance: "e2", ConfigVersion: version}},
		DataCentres: []*pb.DataCentreSummary{{DataCentre: "sur"}, {DataCentre: "centro", LiveInstances: 4, InForceVersion: version}}}
	if e.lagging {
		s.Instances[1].ConfigVersion = 0
	}
	return connect.NewResponse(s), nil
}

func (e *fakeInstance) Explain(context.Context, *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	return connect.NewResponse(&pb.ExplainResponse{Journal: []*pb.JournalEntry{{Part: "entry", Event: "refused", Cause: "NO_SERVER", Count: 17}}}), nil
}

const callersYAML = `callers:
  - {name: north, plan: gold, prefixes: [10.0.0.0/16]}
  - {name: south, plan: gold, prefixes: [10.1.0.0/16]}
`

const plansYAML = `plans:
  - {name: gold, uses: [{service: campo}]}
services:
  - name: campo
    sites: [{data_centre: norte, address: "127.0.1.1:9000"}]
`

// session runs commands against the operator address in url.
type session struct {
	t   *testing.T
	url string
}

// run runs a command line and checks the exit code and that the output contains
// each string of want.
func (s session) run(exit int, args string, want ...string) {
	s.t.Helper()
	var out, errs bytes.Buffer
	// Nothing listens at the first address, so that each command also tries the
	// next one.
	line := append([]string{"--entry", "127.0.0.1:1", "--entry", s.url}, strings.Fields(args)...)
	if got := Main(context.Background(), line, &out, &errs); got != exit {
		s.t.Fatalf("%s: exit %d, want %d\n%s%s", args, got, exit, &out, &errs)
	}
	for _, w := range want {
		if !strings.Contains(out.String()+errs.String(), w) {
			s.t.Fatalf("%s: no %q in\n%s%s", args, w, &out, &errs)
		}
	}
}

func (s session) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s session) replace(name, old, new string) {
	s.t.Helper()
	data, err := os.ReadFile(name)
	if err != nil || !bytes.Contains(data, []byte(old)) {
		s.t.Fatalf("no %q in %s, %v:\n%s", old, name, err, data)
	}
	s.write(name, strings.Replace(string(data), old, new, 1))
}

func (s session) wantInFile(name string, want ...string) {
	s.t.Helper()
	data, err := os.ReadFile(name)
	for _, w := range want {
		if err != nil || !bytes.Contains(data, []byte(w)) {
			s.t.Fatalf("no %q in %s, %v:\n%s", w, name, err, data)
		}
	}
}

// Guards against reporting a wrong outcome of an edit, and against outdated
// files that revert the edits of others.
func TestEditsOfTwoOperators(t *testing.T) {
	t.Chdir(t.TempDir())
	e := &fakeInstance{objects: map[string]*pb.GetResponse{}}
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewOperatorHandler(e))
	server := httptest.NewServer(mux)
	defer server.Close()
	s := session{t, strings.TrimPrefix(server.URL, "http://")}

	s.write("callers.yaml", callersYAML)
	s.write("plans.yaml", plansYAML)
	s.run(ExitOK, "validate", "valid: 2 callers, 1 plans, 1 services")
	s.run(ExitOK, "apply --operator ana --dry-run", "+ caller north", "nothing was changed")
	s.run(ExitOK, "apply --operator ana --summary first", "accepted as version 1", "in force", "unreachable, not confirmed: sur")
	s.run(ExitOK, "diff", "files are based on version 1", "no changes")
	s.run(ExitOK, "apply --operator ana", "no changes to apply; the newest version is 1")
	s.run(ExitUsage, "diff --base x", "--base must be a version number")

	// Two operators edit files that are based on version 1.
	s.run(ExitOK, "export --callers bruno.yaml --plans bruno-plans.yaml", "wrote version 1")
	s.replace("bruno.yaml", "10.1.0.0/16", "10.2.0.0/16")
	s.replace("callers.yaml", "10.0.0.0/16", "10.9.0.0/16")
	s.run(ExitOK, "apply --operator ana", "version 2")
	s.run(ExitOK, "apply --operator bruno --callers bruno.yaml --plans none.yaml", "version 3", "run cuminctl export")
	s.run(ExitOK, "export --callers now.yaml --plans now-plans.yaml")
	s.wantInFile("now.yaml", "10.9.0.0/16", "10.2.0.0/16")
	s.replace("callers.yaml", "10.1.0.0/16", "10.3.0.0/16")
	s.run(ExitConflict, "apply --operator ana", "your edit:", "10.3.0.0/16", "by bruno", "10.2.0.0/16", "nothing was changed")

	s.write("plain.yaml", callersYAML)
	s.run(ExitUsage, "apply --operator ana --callers plain.yaml --plans none.yaml", "--base 3")
	s.write("bad.yaml", strings.Replace(callersYAML, "10.1.0.0", "10.0.0.0", 1))
	s.run(ExitInvalid, "validate --callers bad.yaml", "bad.yaml:3:42: prefix")
	s.run(ExitInvalid, "validate --callers bad.yaml --output json", `"line": 3`)

	s.run(ExitOK, "mark data-centre norte out --operator ana", "data centre norte: marked out", "in force")
	s.run(ExitInvalid, "mark data-centre nort out --operator ana", `"nort" has no site`)
	s.run(ExitOK, "history", "mark data-centre norte out", "first")
	e.lagging = true
	s.run(ExitNotInForce, "mark data-centre norte in --operator ana --wait 300ms", "waiting for e2", "not in force at: e2")
	e.lagging = false

	e.down = true
	s.run(ExitOK, "status", "THE STORE IS UNAVAILABLE", "version 5 stays in force")
	s.run(ExitStoreUnavailable, "mark data-centre norte out --operator ana", "the store is unavailable")
	s.run(ExitOutcomeUnknown, "mark data-centre norte out --operator ana --edit-id x1", "may have been accepted")
	s.run(ExitOK, "history", "the store is unavailable; this is version 5")
	server.Close()
	s.run(ExitNoAnswer, "status", "no entry instance answered")
}

// Guards against reporting that nothing was changed when the answer to an edit
// was lost, since the instance may have accepted the edit.
func TestLostAnswerIsReportedAsOutcomeUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	_, err := newClient([]string{strings.TrimPrefix(server.URL, "http://")}, nil).edit(context.Background(), &pb.EditRequest{EditId: "e1"}, false)
	var exit *exitError
	if !errors.As(err, &exit) || exit.code != ExitOutcomeUnknown || !strings.Contains(err.Error(), "--edit-id e1") {
		t.Errorf("got %v, want an unknown outcome with --edit-id e1", err)
	}
}

// Guards against reporting an edit as in force when a data centre has sent no
// summary yet, and against an endless wait for a data centre that is cut off.
func TestDataCentreWithoutSummary(t *testing.T) {
	status := &pb.StatusResponse{DataCentre: "norte", Instances: []*pb.InstanceStatus{{Instance: "e1", ConfigVersion: 1}}}
	dataCentres := []string{"norte", "sur"}
	if r := rolloutOf(status, 1, dataCentres, true); len(r.waiting) != 1 || r.waiting[0] != "sur" || len(r.unreachable) != 0 {
		t.Errorf("while summaries are awaited: got %+v, want waiting for sur", r)
	}
	if r := rolloutOf(status, 1, dataCentres, false); len(r.waiting) != 0 || len(r.unreachable) != 1 || r.unreachable[0] != "sur" {
		t.Errorf("when summaries are no longer awaited: got %+v, want sur unreachable", r)
	}
}

// Guards against JSON output that is not a single document, which programs
// could not parse.
func TestFindingsAreOneJSONDocument(t *testing.T) {
	t.Chdir(t.TempDir())
	s := session{t, ""}
	s.write("callers.yaml", strings.Replace(callersYAML, "10.1.0.0", "10.0.0.0", 1))
	s.write("plans.yaml", plansYAML)
	var out, errs bytes.Buffer
	Main(context.Background(), []string{"validate", "--output", "json"}, &out, &errs)
	var got struct {
		Findings []struct{ Line int }
		Exit     int
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got.Exit != ExitInvalid || len(got.Findings) != 1 || got.Findings[0].Line != 3 {
		t.Errorf("%v, %+v in\n%s", err, got, &out)
	}
}

// Guards against explain omitting the count of repeated journal entries.
func TestExplainShowsCounts(t *testing.T) {
	e := &fakeInstance{}
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewOperatorHandler(e))
	server := httptest.NewServer(mux)
	defer server.Close()
	session{t, strings.TrimPrefix(server.URL, "http://")}.run(ExitOK, "explain refused", "COUNT", "17")
}

// Guards against commands that cannot connect to, or do not authenticate, entry
// instances that require client certificates.
func TestClientCertificate(t *testing.T) {
	t.Chdir(t.TempDir())
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewOperatorHandler(&fakeInstance{objects: map[string]*pb.GetResponse{}}))
	server := httptest.NewUnstartedServer(mux)
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()
	s := session{t, strings.TrimPrefix(server.URL, "https://")}

	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	s.write("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	s.write("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	s.run(ExitOK, "status --tls-certificate cert.pem --tls-key key.pem --tls-ca cert.pem", "instance e1")
	s.run(ExitUsage, "status --tls-certificate cert.pem --tls-key none.pem --tls-ca cert.pem")
}
