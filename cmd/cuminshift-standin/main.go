// Command cuminshift-standin runs one stand-in for a system outside cuminshift:
// the object store, the instance list, the network fabric, a backend server or
// callers. It also sends single HTTP requests to stand-ins.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"cuminshift/internal/standin/caller"
	"cuminshift/internal/standin/fabric"
	"cuminshift/internal/standin/instancelist"
	"cuminshift/internal/standin/server"
	"cuminshift/internal/standin/store"
)

// Log field names.
const (
	fieldAddress = "address"
	fieldHealth  = "health"
	fieldError   = "error"
)

// command is a subcommand, with its flags bound, and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *zap.Logger) error
}

func main() {
	flaggy.SetName("cuminshift-standin")
	flaggy.SetDescription("stand-ins for the systems outside cuminshift")
	commands := []command{storeCommand(), instanceListCommand(), fabricCommand(), serverCommand(), callerCommand(), httpCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx, log); err != nil {
			log.Error("standin: stopped after a failure", zap.String(fieldError, err.Error()))
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelpAndExit("a subcommand is required")
}

func newCommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func storeCommand() command {
	listen := "127.0.0.1:0"
	sub := newCommand("store", "object store; POST /fault switches faults")
	sub.String(&listen, "", "listen", "ip:port")
	return command{sub, func(ctx context.Context, log *zap.Logger) error {
		_, srv, err := store.Start(ctx, listen)
		if err != nil {
			return err
		}
		log.Info("store: serving", zap.String(fieldAddress, srv.Addr))
		<-ctx.Done()
		return nil
	}}
}

func instanceListCommand() command {
	listen, file, lag := "127.0.0.1:0", "", time.Duration(0)
	var instances []string
	sub := newCommand("instancelist", "instance list; POST and DELETE /instances change it")
	sub.String(&listen, "", "listen", "ip:port")
	sub.String(&file, "", "file", "YAML file with the instances")
	sub.StringSlice(&instances, "", "instance", "NAME/DATA_CENTRE/PEER/PACKET/OPERATOR, the last three ip:port; may be repeated")
	sub.Duration(&lag, "", "lag", "time until a change is visible")
	return command{sub, func(ctx context.Context, log *zap.Logger) error {
		var entries []instancelist.Entry
		if file != "" {
			fileEntries, err := instancelist.ReadFile(file)
			if err != nil {
				return err
			}
			entries = fileEntries
		}
		for _, f := range instances {
			e, err := instancelist.ParseEntry(f)
			if err != nil {
				return err
			}
			entries = append(entries, e)
		}
		_, srv, err := instancelist.Start(ctx, listen, lag, entries)
		if err != nil {
			return err
		}
		log.Info("instancelist: serving", zap.String(fieldAddress, srv.Addr))
		<-ctx.Done()
		return nil
	}}
}

func fabricCommand() command {
	cfg := fabric.Config{Listen: "127.0.0.1:0"}
	sub := newCommand("fabric", "network fabric of a data centre")
	sub.String(&cfg.Listen, "", "listen", "ip:port for callers' datagrams")
	sub.String(&cfg.DataCentre, "", "data-centre", "data centre whose instances get the datagrams")
	sub.String(&cfg.InstanceListURL, "", "instance-list", "base URL of the instance list")
	sub.Float64(&cfg.DuplicateRate, "", "duplicate", "share of datagrams sent twice")
	sub.Float64(&cfg.LossRate, "", "loss", "share of datagrams lost")
	sub.Float64(&cfg.ReorderRate, "", "reorder", "share of datagrams delayed")
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the random choices")
	return command{sub, func(ctx context.Context, log *zap.Logger) error {
		f, err := fabric.Start(ctx, cfg)
		if err != nil {
			return err
		}
		log.Info("fabric: serving", zap.Stringer(fieldAddress, f.Addr))
		<-ctx.Done()
		return nil
	}}
}

func serverCommand() command {
	cfg := server.Config{Listen: "127.0.0.1:0", HealthListen: "127.0.0.1:0", Slots: 3, ServiceTime: 5 * time.Millisecond, Parts: 1}
	sub := newCommand("server", "backend server; POST /switch at the health address changes its behaviour")
	sub.String(&cfg.Name, "", "name", "server name, included in payloads")
	sub.String(&cfg.Service, "", "service", "service name, included in payloads")
	sub.String(&cfg.Listen, "", "listen", "ip:port for datagrams")
	sub.String(&cfg.HealthListen, "", "health", "ip:port for BackendStatus and /stats")
	sub.Int(&cfg.Slots, "", "slots", "number of requests that run concurrently")
	sub.Duration(&cfg.ServiceTime, "", "service-time", "time that a request takes")
	sub.Int(&cfg.Parts, "", "parts", "number of parts of an answer")
	sub.Int(&cfg.ColdSlots, "", "cold-slots", "number of concurrent requests that the server sustains while cold")
	sub.Int(&cfg.ColdOpeningsPerSecond, "", "cold-openings", "openings per second that the server sustains while cold")
	sub.Int(&cfg.WarmAfter, "", "warm-after", "number of answers and openings after which the server is warm; 0 starts it warm")
	sub.Duration(&cfg.StatusLag, "", "status-lag", "age of the reported status")
	return command{sub, func(ctx context.Context, log *zap.Logger) error {
		s, err := server.Start(ctx, cfg)
		if err != nil {
			return err
		}
		log.Info("server: serving", zap.Stringer(fieldAddress, s.Addr), zap.String(fieldHealth, s.HealthAddr))
		<-ctx.Done()
		return nil
	}}
}

func callerCommand() command {
	cfg := caller.Config{Flows: 10, Duration: 10 * time.Second}
	sub := newCommand("caller", "callers; exits when done, and prints the results as one JSON line")
	sub.String(&cfg.Fabric, "", "fabric", "ip:port of the fabric")
	sub.String(&cfg.Service, "", "service", "service address, ip:port")
	sub.String(&cfg.ServiceName, "", "service-name", "service that every answer must come from")
	sub.StringSlice(&cfg.Addresses, "", "address", "caller IP address; may be repeated")
	sub.Int(&cfg.Flows, "", "flows", "number of flows")
	sub.Duration(&cfg.Spread, "", "spread", "time over which the flows are opened")
	sub.Duration(&cfg.Duration, "", "duration", "time after which no new data or requests are sent")
	sub.Duration(&cfg.DataInterval, "", "data-interval", "pause between data packets of a flow; 0 sends none")
	sub.Duration(&cfg.RequestInterval, "", "request-interval", "pause between requests of a flow; 0 sends none")
	sub.Float64(&cfg.NonIdempotentShare, "", "non-idempotent", "share of requests that must not run twice")
	sub.UInt32(&cfg.Priority, "", "priority", "priority of requests; 0 is the highest")
	sub.Duration(&cfg.Deadline, "", "deadline", "time within which a request must be answered")
	sub.Duration(&cfg.RetransmitInterval, "", "retransmit", "time after which a datagram is sent again")
	sub.Duration(&cfg.BrokenAfter, "", "broken-after", "time without an echo after which a flow counts as broken")
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the random choices")
	return command{sub, func(ctx context.Context, _ *zap.Logger) error {
		r, err := caller.Run(ctx, cfg)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(r)
	}}
}

// httpCommand sends one HTTP request, so that scripts need no HTTP client.
func httpCommand() command {
	method, body, url := http.MethodPost, "", ""
	sub := newCommand("http", "sends one HTTP request to a stand-in and prints the response body")
	sub.String(&method, "", "method", "HTTP method")
	sub.String(&body, "", "body", "request body in JSON")
	sub.AddPositionalValue(&url, "url", 1, true, "URL")
	return command{sub, func(ctx context.Context, _ *zap.Logger) error {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode >= 300 {
			return fmt.Errorf("%s: %s", url, resp.Status)
		}
		_, err = io.Copy(os.Stdout, resp.Body)
		return err
	}}
}
