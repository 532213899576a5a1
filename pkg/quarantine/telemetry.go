package quarantine

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// kind names what an item reports, as the label of metrics.
type kind int

const (
	kindLoss kind = iota
	kindClear
	kindRefusal
	kinds
)

func kindOf(item *peerpb.QuarantineItem) kind {
	switch {
	case item.GetCleared():
		return kindClear
	case item.GetRefusedMillis() > 0:
		return kindRefusal
	}
	return kindLoss
}

func (k kind) String() string { return [kinds]string{"loss", "clear", "refusal"}[k] }

// Counters of the items that instances exchange. A storm shows as many known items for each new one.
var (
	itemsSent, itemsNew, itemsKnown, bytesSent, bytesReceived [kinds]*metrics.Counter

	callsAnswered = metrics.GetOrCreateCounter(`turmericsail_quarantine_report_calls_total{outcome="answered"}`)
	callsFailed   = metrics.GetOrCreateCounter(`turmericsail_quarantine_report_calls_total{outcome="failed"}`)
	callsReplaced = metrics.GetOrCreateCounter(`turmericsail_quarantine_report_calls_total{outcome="replaced"}`)
)

func init() {
	for k := range kinds {
		label := `kind="` + k.String() + `"`
		itemsSent[k] = metrics.GetOrCreateCounter(`turmericsail_quarantine_items_sent_total{` + label + `}`)
		itemsNew[k] = metrics.GetOrCreateCounter(`turmericsail_quarantine_items_received_total{` + label + `,news="new"}`)
		itemsKnown[k] = metrics.GetOrCreateCounter(`turmericsail_quarantine_items_received_total{` + label + `,news="known"}`)
		bytesSent[k] = metrics.GetOrCreateCounter(`turmericsail_quarantine_item_bytes_total{` + label + `,direction="sent"}`)
		bytesReceived[k] = metrics.GetOrCreateCounter(`turmericsail_quarantine_item_bytes_total{` + label + `,direction="received"}`)
	}
}

func countSent(items []*peerpb.QuarantineItem) {
	for _, item := range items {
		k := kindOf(item)
		itemsSent[k].Inc()
		bytesSent[k].Add(proto.Size(item))
	}
}

func countReceived(item *peerpb.QuarantineItem, news bool) {
	k := kindOf(item)
	bytesReceived[k].Add(proto.Size(item))
	if news {
		itemsNew[k].Inc()
	} else {
		itemsKnown[k].Inc()
	}
}

const (
	// runPause ends a run of failures: no call has failed for this time.
	runPause = 5 * time.Second
	// maxRun is the time after which a run that goes on is logged all the same.
	maxRun = 30 * time.Second
	// maxRunTargets bounds the instances that a run tells apart.
	maxRunTargets = 1024
)

// failureRun collects failed calls, so that a run of them costs one log line and not one for each call.
type failureRun struct {
	mu          sync.Mutex
	calls       int
	targets     map[peer.InstanceID]struct{}
	began, last time.Time
	lastTarget  peer.InstanceID
	lastError   error
}

func (r *failureRun) add(now time.Time, to peer.InstanceID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == 0 {
		r.began, r.targets = now, map[peer.InstanceID]struct{}{}
	}
	r.calls++
	if len(r.targets) < maxRunTargets {
		r.targets[to] = struct{}{}
	}
	r.last, r.lastTarget, r.lastError = now, to, err
}

// log logs a run that has ended or lasts for long, and begins the next one.
func (r *failureRun) log(now time.Time, log logr.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == 0 || now.Sub(r.last) < runPause && now.Sub(r.began) < maxRun {
		return
	}
	log.Info("quarantine reports were not taken", "calls", r.calls, "instances", len(r.targets),
		"lasted", r.last.Sub(r.began).String(), "instance", r.lastTarget, "error", r.lastError.Error())
	r.calls = 0
}
