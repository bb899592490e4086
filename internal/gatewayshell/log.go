package gatewayshell

import (
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cuminshift/internal/flow"
	"cuminshift/internal/gateway"
	"cuminshift/internal/model"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

// Names of the log fields.
const (
	logFlow            = "flow"
	logServer          = "server"
	logService         = "service"
	logReason          = "reason"
	logVerdict         = "verdict"
	logCause           = "cause"
	logAge             = "age_ms"
	logSubject         = "subject"
	logSource          = "source"
	logOmitted         = "omitted"
	logRetransmitCount = "copy"
	logConfiguration   = "configuration"
	logRetransmitAfter = "repeat_after_ms"
	logInstance        = "instance"
)

const (
	// flowLinesPerSecond and flowLinesBurst limit the lines about flows. At
	// 300 bytes each they take 15 KB/s.
	flowLinesPerSecond = 50
	flowLinesBurst     = 200
	// stateLinesPerSecond and stateLinesBurst limit the lines about changes of
	// the state of servers, data centres and the configuration. The burst holds a
	// registry of 1,000 servers.
	stateLinesPerSecond = 50
	stateLinesBurst     = 1000
	// openingLinesPerSecond limits the sampled lines about openings that are
	// forwarded.
	openingLinesPerSecond = 5
	// maxRejections bounds the rejected objects in loggedRejections, and
	// rejectionLinesPerSecond the lines about them beyond a burst of that size.
	maxRejections           = 1024
	rejectionLinesPerSecond = 5
)

// errorField returns a field with the error's text, without its stack trace.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// decisionLog writes one line for each decision, subject to rate limits.
type decisionLog struct {
	log          *zap.Logger
	flows        *rate.Limiter
	openings     *rate.Limiter
	stateChanges *rate.Limiter
	rejections   *rate.Limiter

	mu sync.Mutex
	// omitted counts the lines that exceeded a limit since the last report.
	omitted int64
	// loggedRejections holds the rejected objects that have been logged.
	loggedRejections map[source.Rejection]bool
}

func newDecisionLog(log *zap.Logger) *decisionLog {
	return &decisionLog{
		log:              log,
		flows:            rate.NewLimiter(flowLinesPerSecond, flowLinesBurst),
		openings:         rate.NewLimiter(openingLinesPerSecond, openingLinesPerSecond),
		stateChanges:     rate.NewLimiter(stateLinesPerSecond, stateLinesBurst),
		rejections:       rate.NewLimiter(rejectionLinesPerSecond, maxRejections),
		loggedRejections: map[source.Rejection]bool{},
	}
}

func (l *decisionLog) started(s *Settings) {
	l.log.Info("gateway: started", zap.String(logInstance, string(s.Instance)), zap.String("data_centre", string(s.DataCentre)),
		zap.String("packets", s.PacketAddress.String()), zap.String("store", s.StoreAddress.String()))
}

// reloaded logs a reload. afterRestart names the changed settings that take effect
// only after a restart.
func (l *decisionLog) reloaded(s *Settings, afterRestart []string) {
	l.log.Info("gateway: settings reloaded", zap.String("store", s.StoreAddress.String()), zap.Strings("after_restart", afterRestart))
}

func (l *decisionLog) stopping() {
	l.log.Info("gateway: planned stop started, readiness check now fails")
}

func (l *decisionLog) stopped(err error) {
	l.log.Info("gateway: stopped", errorField(err), zap.Int64(logOmitted, l.takeOmitted()))
}

func (l *decisionLog) warn(message string, err error) {
	l.log.Warn("gateway: "+message, errorField(err))
}

func (l *decisionLog) sourceFailing(k source.Kind, err error) {
	l.log.Warn("store: calls for source fail, retrying", zap.Stringer(logSource, k), errorField(err))
}

func (l *decisionLog) sourceRecovered(k source.Kind) {
	l.log.Info("store: calls for source succeed again", zap.Stringer(logSource, k))
}

// readingAgain logs why a source is read instead of watched.
func (l *decisionLog) readingAgain(k source.Kind, err error) {
	l.log.Info("store: source is read again", zap.Stringer(logSource, k), errorField(err))
}

func (l *decisionLog) configurationKept(version int64) {
	l.log.Info("store: restored to an older configuration, the one in use is kept beside it", zap.Int64(logConfiguration, version))
}

func (l *decisionLog) registrationLost() {
	l.log.Warn("feed: restored store has lost the registration of this instance, registering again")
}

// followedInstance logs a change of the followed instance; an empty name means
// that none is followed.
func (l *decisionLog) followedInstance(name model.InstanceID) {
	l.log.Info("feed: followed instance changed", zap.String(logInstance, string(name)))
}

func (l *decisionLog) upstreamFailed(i upstream.Instance, err error) {
	l.log.Warn("feed: no valid response from instance", zap.String(logInstance, string(i.Name)), errorField(err))
}

// rejected logs each object that could not be decoded, once.
func (l *decisionLog) rejected(all []source.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range all {
		if l.loggedRejections[r] {
			continue
		}
		if len(l.loggedRejections) >= maxRejections {
			// Rejections that name a version would use up the bound in time, and later
			// ones would not be logged.
			clear(l.loggedRejections)
		}
		if !l.rejections.Allow() {
			l.omitted++
			continue
		}
		l.loggedRejections[r] = true
		l.log.Warn("store: object rejected", zap.String(logSubject, r.Name), zap.String(logCause, r.Cause))
	}
}

func (l *decisionLog) stateChanged(n gateway.StateChange) {
	if !l.stateChanges.Allow() {
		l.omit()
		return
	}
	l.log.Info("state: "+n.Description, zap.String(logSubject, n.Subject), zap.String(logCause, n.Cause), zap.Int64(logAge, n.Age.Milliseconds()))
}

func (l *decisionLog) malformed(err error) {
	if l.flows.Allow() {
		l.log.Warn("packet: malformed", errorField(err))
	} else {
		l.omit()
	}
}

// recordVerdict logs refusals, resets, dropped packets, retransmitted packets and
// a sample of the forwarded openings.
func (l *decisionLog) recordVerdict(s *flow.Segment, v *gateway.Verdict) {
	if v.Reason == gateway.ReasonNone && v.RetransmitAfter == 0 {
		if !v.NewOpening || !l.openings.Allow() {
			return
		}
	} else if !l.flows.Allow() {
		l.omit()
		return
	}
	fields := []zap.Field{zap.Stringer(logFlow, s.Key), zap.Stringer(logVerdict, v.Kind), zap.Stringer(logReason, v.Reason)}
	if v.Server != nil {
		fields = append(fields, zap.String(logServer, v.Server.Name))
	} else if v.Service != "" {
		fields = append(fields, zap.String(logService, v.Service))
	}
	if s.Opening {
		fields = append(fields, zap.Uint32(logRetransmitCount, s.RetransmitCount))
	}
	if v.Version != 0 {
		fields = append(fields, zap.Int64(logConfiguration, v.Version), zap.Int64(logAge, v.Age.Milliseconds()))
	}
	if v.RetransmitAfter > 0 {
		fields = append(fields, zap.Int64(logRetransmitAfter, v.RetransmitAfter.Milliseconds()))
	}
	l.log.Info("flow: verdict on packet", fields...)
}

func (l *decisionLog) flowReset(a gateway.ResetFlow) {
	if !l.flows.Allow() {
		l.omit()
		return
	}
	l.log.Info("flow: reset", zap.Stringer(logFlow, a.Flow), zap.String(logServer, a.Server), zap.Stringer(logReason, a.Reason))
}

func (l *decisionLog) omit() {
	l.mu.Lock()
	l.omitted++
	l.mu.Unlock()
}

// reportOmitted logs the number of lines omitted since the last report.
func (l *decisionLog) reportOmitted() {
	if n := l.takeOmitted(); n > 0 {
		l.log.Warn("log: lines omitted by rate limits", zap.Int64(logOmitted, n))
	}
}

// takeOmitted returns the number of omitted lines and sets it to 0.
func (l *decisionLog) takeOmitted() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.omitted
	l.omitted = 0
	return n
}
