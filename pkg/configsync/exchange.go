package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Names of the peer services.
const (
	digestService = "config.digest"
	pullService   = "config.pull"
)

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.Wrap(fault.Invalid, err, "the message cannot be decoded", "compare the releases of the two instances")
	}
	return nil
}

func (y *Syncer) digest() *peerpb.ConfigDigest {
	s := y.current.Load()
	return &peerpb.ConfigDigest{Revision: s.revision, Digest: s.digest}
}

// handleDigest answers an offer or a comparison and schedules a pull if the sender has
// a higher revision.
func (y *Syncer) handleDigest(_ context.Context, from peer.InstanceID, request []byte) (proto.Message, error) {
	var d peerpb.ConfigDigest
	if err := decode(request, &d); err != nil {
		return nil, err
	}
	y.noteRevision(from, &d)
	return y.digest(), nil
}

func (y *Syncer) handlePull(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	var p peerpb.ConfigPull
	if err := decode(request, &p); err != nil {
		return nil, err
	}
	s := y.current.Load()
	if s.revision <= p.GetFrom() {
		return &peerpb.ConfigDelta{From: p.GetFrom(), To: s.revision}, nil
	}
	return s.delta(p.GetFrom(), p.GetFull())
}

// noteRevision records the revision of another instance and schedules a pull from it if that
// revision is higher.
func (y *Syncer) noteRevision(from peer.InstanceID, d *peerpb.ConfigDigest) {
	cur := y.current.Load()
	y.highest.record(time.Now(), d.GetRevision())
	switch {
	case d.GetRevision() > cur.revision:
		y.pulls.add(from, d.GetRevision())
	case d.GetRevision() == cur.revision && d.GetDigest() != cur.digest:
		y.counts.mismatches.Add(1)
		y.log.Error(nil, "two instances have different rows for one revision", "revision", cur.revision, "other", from)
	}
}

// compare exchanges revisions with another instance.
func (y *Syncer) compare(ctx context.Context, to peer.InstanceID) (*peerpb.ConfigDigest, error) {
	ctx, cancel := context.WithTimeout(ctx, y.settings.CallTimeout.Std())
	defer cancel()
	answer := &peerpb.ConfigDigest{}
	if err := y.transport.Call(ctx, to, digestService, y.digest(), answer); err != nil {
		return nil, err
	}
	y.noteRevision(to, answer)
	return answer, nil
}

// compareLoop compares revisions with one random member after each interval.
func (y *Syncer) compareLoop(ctx context.Context) {
	for pause.For(ctx, jitter(y.settings.CompareInterval.Std())) {
		for _, m := range y.randomMembers(1) {
			y.running.Go(func() { _, _ = y.compare(ctx, m) })
		}
	}
}

// randomMembers returns up to n random live members other than this one.
func (y *Syncer) randomMembers(n int) []peer.InstanceID {
	live := y.liveOthers(membership.Fleet())
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(n, len(live))]
}

func (y *Syncer) liveOthers(scope membership.Scope) []peer.InstanceID {
	var out []peer.InstanceID
	for _, m := range y.members.View().Live(scope) {
		if m.ID != y.transport.Self() {
			out = append(out, m.ID)
		}
	}
	return out
}

// source is an instance that is known to have a revision.
type source struct {
	id       peer.InstanceID
	revision uint64
}

// puller holds the best known sources for the next pull. One pull runs at a time.
type puller struct {
	mu     sync.Mutex
	best   []source // the highest revision first
	signal chan struct{}
}

// maxSources bounds the sources that a puller keeps.
const maxSources = 8

func (p *puller) channel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.signal == nil {
		p.signal = make(chan struct{}, 1)
	}
	return p.signal
}

func (p *puller) add(id peer.InstanceID, revision uint64) {
	signal := p.channel()
	p.mu.Lock()
	at := 0
	for at < len(p.best) && p.best[at].revision >= revision {
		at++
	}
	p.best = append(p.best[:at:at], append([]source{{id, revision}}, p.best[at:]...)...)
	p.best = p.best[:min(len(p.best), maxSources)]
	p.mu.Unlock()
	select {
	case signal <- struct{}{}:
	default:
	}
}

// next returns the best source above a revision.
func (p *puller) next(above uint64) (source, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.best) == 0 || p.best[0].revision <= above {
		p.best = nil
		return source{}, false
	}
	s := p.best[0]
	p.best = p.best[1:]
	return s, true
}

func (y *Syncer) pullLoop(ctx context.Context) {
	signal := y.pulls.channel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
		}
		for {
			s, ok := y.pulls.next(y.current.Load().revision)
			if !ok {
				break
			}
			if err := y.pull(ctx, s.id); err != nil {
				y.log.V(1).Info("pulling tables from an instance failed", "from", s.id, "reason", err.Error())
			}
		}
	}
}

// pull requests a delta from another instance, and all rows if the digest does not match.
func (y *Syncer) pull(ctx context.Context, from peer.InstanceID) error {
	err := y.pullOnce(ctx, from, false)
	if errors.Is(err, errMismatch) {
		y.counts.mismatches.Add(1)
		err = y.pullOnce(ctx, from, true)
	}
	return err
}

func (y *Syncer) pullOnce(ctx context.Context, from peer.InstanceID, full bool) error {
	call, cancel := context.WithTimeout(ctx, y.settings.PullTimeout.Std())
	defer cancel()
	request := &peerpb.ConfigPull{From: y.current.Load().revision, Full: full}
	delta := &peerpb.ConfigDelta{}
	if err := y.transport.Call(call, from, pullService, request, delta); err != nil {
		return err
	}
	y.counts.pulls.Add(1)
	if delta.GetFull() {
		y.counts.full.Add(1)
	}
	return y.propose(ctx, string(from), false, func(cur *snapshot) (*snapshot, error) {
		if delta.GetTo() <= cur.revision {
			return nil, nil
		}
		return cur.apply(delta)
	})
}
