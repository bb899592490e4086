package gatewayshell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/gateway"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/upstream"
)

// lossTimeout bounds a report: an answer of an instance of the same data
// centre takes 2 ms, and later than a caller's first repeat after 200 ms the
// report is of no use.
const lossTimeout = 200 * time.Millisecond

// wakeLosses passes a noted loss on: to the followers, whose calls wait for
// changes, and to the followed instance.
func (sh *Shell) wakeLosses() {
	sh.feed.notify()
	select {
	case sh.lossNoted <- struct{}{}:
	default:
		// The report under way is followed by another one.
	}
}

// reportLosses reports each noted loss to the followed instance until ctx ends.
// A report that fails is not repeated: the other instances find the loss by
// their own flows.
func (sh *Shell) reportLosses(ctx context.Context) {
	client := sh.feedClient()
	defer client.Close()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-sh.lossNoted:
		}
		now := time.Now()
		losses, noted := sh.core.LossesSince(now, reported)
		reported = noted
		sh.upstreamMu.Lock()
		instance, ok := sh.upstream.Next(now)
		sh.upstreamMu.Unlock()
		if !ok || len(losses) == 0 {
			continue
		}
		if err := sh.reportOnce(ctx, client, instance, encodeLosses(now, losses)); err != nil {
			sh.log.failed("report lost servers to "+string(instance.Name), err)
		}
	}
}

func (sh *Shell) reportOnce(ctx context.Context, client *rpcframe.Client, instance upstream.Instance, losses []*pb.FeedLoss) error {
	payload, err := proto.Marshal(&pb.FeedLosses{Instance: string(sh.settings.Instance), Losses: losses})
	if err != nil {
		return errors.Wrap(err, "feed: losses")
	}
	_, err = client.Call(ctx, instance.Address.String(), lossesMethod, payload, lossTimeout)
	return err
}

// Losses takes an encoded FeedLosses.
func (f *Feed) Losses(in rpcframe.Frame, _ *rpcframe.Frame) error {
	report := &pb.FeedLosses{}
	if err := proto.Unmarshal(in.Payload, report); err != nil {
		return errors.Wrap(err, "feed: losses")
	}
	f.shell.takeLosses(report.Losses)
	return nil
}

func (sh *Shell) takeLosses(losses []*pb.FeedLoss) {
	if len(losses) == 0 {
		return
	}
	now := time.Now()
	report := gateway.LossesReported{}
	for _, l := range losses {
		report.Losses = append(report.Losses, gateway.Loss{Server: l.Server, Incarnation: l.Incarnation, At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond)})
	}
	sh.handle(report)
}

func encodeLosses(now time.Time, losses []gateway.Loss) []*pb.FeedLoss {
	var out []*pb.FeedLoss
	for _, l := range losses {
		out = append(out, &pb.FeedLoss{Server: l.Server, Incarnation: l.Incarnation, AgeMs: uint32(now.Sub(l.At).Milliseconds())})
	}
	return out
}
