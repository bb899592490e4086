package feed

import (
	"fmt"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// at returns a position in the first era.
func at(r source.Revision) source.Position { return source.Position{Revision: r} }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

// configuration returns a configuration with n routes; those in changed have
// another weight and no objective for answers.
func configuration(version int64, n int, changed ...int) *routing.Configuration {
	c := &routing.Configuration{Version: version, IdleTimeout: 15 * time.Second, Routes: map[netip.AddrPort]*routing.Route{},
		Services: map[string]routing.Service{"campo": {Name: "campo", HealthPath: "/health", ColdOpenings: 2}}}
	for i := range n {
		c.Routes[address(i)] = &routing.Route{Name: fmt.Sprintf("r-%d", i), Shares: []routing.Share{{Service: "campo", Weight: 1}}, AnswerWithin: 200 * time.Millisecond,
			Priority: uint8(i % 3), GiveUpAfter: 1200 * time.Millisecond}
	}
	for _, i := range changed {
		c.Routes[address(i)] = &routing.Route{Name: fmt.Sprintf("r-%d", i), Shares: []routing.Share{{Service: "campo", Weight: 3}}}
	}
	return c
}

// roundTrip marshals, unmarshals and decodes a message.
func roundTrip(t *testing.T, m *pb.FeedUpdate, current *routing.Configuration) (source.Kind, source.Update, error) {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	out := &pb.FeedUpdate{}
	if err := proto.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	return Decode(out, current)
}

func TestUpdatesRoundTrip(t *testing.T) {
	entry := registry.Entry{Name: "i-7", Fence: 7, Service: "campo", DataCentre: "norte", Address: address(9), Slots: 3,
		Draining: true, ColdRemaining: 1500 * time.Millisecond, Incarnation: 1700000000123, Sequence: 41}
	updates := map[source.Kind]source.Update{
		source.Configuration: {Full: true, Position: at(5), Configuration: configuration(3, 4, 2)},
		source.Registry:      {Position: at(9), Servers: []source.ServerChange{{Entry: entry}, {Entry: registry.Entry{Name: "i-8"}, Removed: true}}},
		source.Withdrawals:   {Position: at(4), DataCentres: []source.DataCentreChange{{DataCentre: "sur", Withdrawn: true, Contradicted: true}}},
	}
	for k, u := range updates {
		gotKind, got, err := roundTrip(t, Encode(k, &u, nil), nil)
		if err != nil || gotKind != k || !reflect.DeepEqual(got, u) {
			t.Errorf("%s: %+v decoded as %+v, %v", k, u, got, err)
		}
	}
}

// A configuration is passed on as its differences: on a link of 10 Mbit/s a
// complete one with 1,900 routes takes 80 ms for each follower.
func TestConfigurationIsEncodedAsDifferences(t *testing.T) {
	old, next := configuration(3, 1900), configuration(4, 1898, 7)
	next.Routes[address(5000)] = &routing.Route{Name: "new", Shares: []routing.Share{{Service: "campo", Weight: 1}}}
	u := source.Update{Position: at(9), Configuration: next}
	m := Encode(source.Configuration, &u, old)
	if size := proto.Size(m); size > 300 {
		t.Errorf("4 changed routes of 1,900 take %d bytes", size)
	}
	_, got, err := roundTrip(t, m, old)
	if err != nil || !reflect.DeepEqual(got.Configuration, next) {
		t.Fatalf("error %v, configuration equal: %t", err, reflect.DeepEqual(got.Configuration, next))
	}
	if len(old.Routes) != 1900 {
		t.Error("decoding changed the base configuration")
	}
	if _, _, err := roundTrip(t, m, configuration(2, 10)); !errors.Is(err, ErrBaseMismatch) {
		t.Errorf("differences from another version: %v", err)
	}
}

func TestLog(t *testing.T) {
	var l Log
	if _, ok := l.Since(source.Registry, at(0)); ok {
		t.Fatal("an empty log has changes")
	}
	l.Append(source.Registry, source.Update{Full: true, Position: at(10)})
	for r := source.Revision(11); r <= 13; r++ {
		l.Append(source.Registry, source.Update{Position: at(r), Servers: []source.ServerChange{{Entry: registry.Entry{Name: fmt.Sprint(r)}}}})
	}
	u, ok := l.Since(source.Registry, at(11))
	if !ok || u.Position.Revision != 13 || len(u.Servers) != 2 || u.Servers[0].Entry.Name != "12" {
		t.Fatalf("%+v, %t", u, ok)
	}
	if u, ok := l.Since(source.Registry, at(13)); !ok || !u.Empty() {
		t.Fatalf("nothing new: %+v, %t", u, ok)
	}
	if _, ok := l.Since(source.Registry, at(9)); ok {
		t.Fatal("the log holds changes from before the full update")
	}
}

func TestLogIsBounded(t *testing.T) {
	var l Log
	l.Append(source.Configuration, source.Update{Full: true, Position: at(1), Configuration: configuration(1, 1)})
	for r := source.Revision(2); r < 1000; r++ {
		l.Append(source.Configuration, source.Update{Position: at(r), Configuration: configuration(int64(r), 1)})
	}
	if _, ok := l.Since(source.Configuration, at(500)); ok {
		t.Error("the log holds an old revision")
	}
	if u, ok := l.Since(source.Configuration, at(900)); !ok || u.Configuration.Version != 999 {
		t.Errorf("%+v, %t", u, ok)
	}
	if c := l.Configuration(at(900)); c == nil || c.Version != 900 {
		t.Errorf("version at 900: %+v", c)
	}
	if c := l.Configuration(at(500)); c != nil {
		t.Error("the log holds a configuration from before its first update")
	}
}

// Guards against memory that grows with the size of the versions: an instance that others
// follow kept 256 large ones.
func TestLogIsBoundedByBytes(t *testing.T) {
	const routes, versions = 5400, 60
	var l Log
	l.Append(source.Configuration, source.Update{Full: true, Position: at(1), Configuration: configuration(1, routes)})
	before := heapAlloc()
	for r := source.Revision(2); r <= versions; r++ {
		l.Append(source.Configuration, source.Update{Position: at(r), Configuration: configuration(int64(r), routes)})
	}
	if grown := heapAlloc() - before; grown > 2*maxLogBytes {
		t.Errorf("%d versions of %d routes take %d MB", versions, routes, grown>>20)
	}
	if u, ok := l.Since(source.Configuration, at(versions-3)); !ok || u.Configuration.Version != versions {
		t.Errorf("the log lacks the last versions: %+v, %t", u.Position, ok)
	}
	if _, ok := l.Since(source.Configuration, at(2)); ok {
		t.Error("the log holds the first version; want the complete state in its place")
	}
	huge := source.Update{Position: at(versions + 1), Configuration: configuration(versions+1, 50_000)}
	l.Append(source.Configuration, huge)
	if c := l.Configuration(huge.Position); c != huge.Configuration {
		t.Error("the log lacks a version that exceeds its bound alone")
	}
	if u, ok := l.Since(source.Configuration, huge.Position); !ok || !u.Empty() {
		t.Errorf("nothing new: %+v, %t", u, ok)
	}
	runtime.KeepAlive(&l)
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a configuration of which the end is missing without an error.
func TestDecompressedConfigurationIsBounded(t *testing.T) {
	large := configuration(7, 50_000)
	for _, route := range large.Routes {
		route.Name = strings.Repeat("r", 100)
	}
	data, err := Compress(large)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := Decompress(data); err == nil {
		t.Errorf("%d routes of 50,000, without an error", len(c.Routes))
	}
	if data, err = Compress(configuration(7, 5400)); err != nil {
		t.Fatal(err)
	}
	if c, err := Decompress(data); err != nil || len(c.Routes) != 5400 {
		t.Error(err)
	}
}

// Guards against differences between states of two eras: their revisions are given
// out to different changes.
func TestLogHasNoChangesSinceAnotherEra(t *testing.T) {
	var l Log
	l.Append(source.Registry, source.Update{Full: true, Position: source.Position{Era: 2, Revision: 10}})
	l.Append(source.Registry, source.Update{Position: source.Position{Era: 2, Revision: 12}, Servers: []source.ServerChange{{Entry: registry.Entry{Name: "a"}}}})
	if _, ok := l.Since(source.Registry, source.Position{Era: 1, Revision: 11}); ok {
		t.Error("the log has the changes since a revision of the era before")
	}
}

// Guards against routes of an instance that does not know of priorities being taken for
// the most urgent ones.
func TestRouteWithoutPriorityIsLeastUrgent(t *testing.T) {
	c, err := DecodeConfiguration(&pb.FeedConfiguration{Version: 3, Routes: []*pb.FeedRoute{{Name: "r", Address: "198.18.0.1:443"}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r := c.Route(netip.MustParseAddrPort("198.18.0.1:443")); r.Priority != 255 || r.GiveUpAfter != 0 {
		t.Errorf("%+v", r)
	}
}
