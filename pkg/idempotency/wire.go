package idempotency

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Names of the peer services.
const (
	serviceClaim    = "once.claim"
	serviceComplete = "once.complete"
	serviceRelease  = "once.release"
)

func malformed(what string, cause error) error {
	return fault.Wrap(fault.Invalid, cause, "the "+what+" cannot be decoded", "run compatible releases on all instances")
}

// millis converts d to milliseconds, rounding up, so that a transferred record does not expire early.
func millis(d time.Duration) uint64 { return uint64(max(0, d+time.Millisecond-1) / time.Millisecond) }

func (id claimID) proto() *peerpb.ClaimID {
	return &peerpb.ClaimID{Claimant: string(id.claimant), Sequence: id.sequence}
}

func idOf(p *peerpb.ClaimID) claimID {
	return claimID{peer.InstanceID(p.GetClaimant()), p.GetSequence()}
}

func decodeIdentity(key []byte, id *peerpb.ClaimID) (recordKey, claimID, error) {
	if len(key) != len(recordKey{}) || id.GetClaimant() == "" {
		return recordKey{}, claimID{}, fault.New(fault.Invalid, "the record key or claim ID is malformed", "run compatible releases on all instances")
	}
	return recordKey(key), idOf(id), nil
}

func decodeWindow(ms uint64) (time.Duration, error) {
	if ms == 0 || ms > millis(MaxWindow) {
		return 0, fault.New(fault.Invalid, "the record window is out of bounds", "set record_window of the route to at most 24h")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func decodeClaim(request []byte) (m claimMessage, region string, err error) {
	var p peerpb.ClaimRequest
	if err := proto.Unmarshal(request, &p); err != nil {
		return m, "", malformed("claim", err)
	}
	m = claimMessage{epoch: p.GetEpoch(), query: p.GetQuery()}
	if m.key, m.id, err = decodeIdentity(p.GetKey(), p.GetId()); err != nil {
		return m, "", err
	}
	if m.window, err = decodeWindow(p.GetWindowMs()); err != nil {
		return m, "", err
	}
	if len(p.GetDigest()) != len(m.digest) {
		return m, "", malformed("digest", nil)
	}
	m.digest = Digest(p.GetDigest())
	return m, p.GetRegion(), nil
}

func decodeComplete(request []byte) (m endMessage, region string, err error) {
	var p peerpb.CompleteRequest
	if err := proto.Unmarshal(request, &p); err != nil {
		return m, "", malformed("completion", err)
	}
	m = endMessage{epoch: p.GetEpoch(), state: stateDone, kept: p.GetAnswerKept(), answer: p.GetAnswer()}
	if p.GetUnknown() {
		m.state = stateUnknown
	}
	if m.key, m.id, err = decodeIdentity(p.GetKey(), p.GetId()); err != nil {
		return m, "", err
	}
	if m.window, err = decodeWindow(p.GetWindowMs()); err != nil {
		return m, "", err
	}
	if len(p.GetDigest()) != len(m.digest) || len(m.answer) > MaxAnswer {
		return m, "", malformed("completion", nil)
	}
	m.digest = Digest(p.GetDigest())
	return m, p.GetRegion(), nil
}

func decodeRelease(request []byte) (m endMessage, region string, err error) {
	var p peerpb.ReleaseRequest
	if err := proto.Unmarshal(request, &p); err != nil {
		return m, "", malformed("release", err)
	}
	m = endMessage{epoch: p.GetEpoch(), state: stateReleased}
	if m.key, m.id, err = decodeIdentity(p.GetKey(), p.GetId()); err != nil {
		return m, "", err
	}
	m.window, err = decodeWindow(p.GetWindowMs())
	return m, p.GetRegion(), err
}

func (m claimMessage) proto(region string) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Region: region, Epoch: m.epoch, Key: m.key[:], Id: m.id.proto(), Digest: m.digest[:],
		WindowMs: millis(m.window), Query: m.query,
	}
}

func (r claimReply) proto() *peerpb.ClaimReply {
	p := &peerpb.ClaimReply{Verdict: r.verdict, Epoch: r.epoch, Answer: r.answer, AnswerKept: r.kept}
	if r.holder != (claimID{}) {
		p.Holder = r.holder.proto()
	}
	for _, id := range r.released {
		p.Released = append(p.Released, id.proto())
	}
	return p
}

func claimReplyOf(p *peerpb.ClaimReply) claimReply {
	r := claimReply{verdict: p.GetVerdict(), epoch: p.GetEpoch(), holder: idOf(p.GetHolder()), answer: p.GetAnswer(), kept: p.GetAnswerKept()}
	for _, id := range p.GetReleased() {
		r.released = append(r.released, idOf(id))
	}
	return r
}

func (r *Replica) handleClaim(now time.Time, request []byte) (proto.Message, error) {
	m, region, err := decodeClaim(request)
	if err != nil {
		return nil, err
	}
	if err := r.checkRegion(region); err != nil {
		return nil, err
	}
	return r.claim(now, m).proto(), nil
}

func (r *Replica) handleComplete(now time.Time, request []byte) (proto.Message, error) {
	m, region, err := decodeComplete(request)
	return r.handleEnd(now, m, region, err)
}

func (r *Replica) handleRelease(now time.Time, request []byte) (proto.Message, error) {
	m, region, err := decodeRelease(request)
	return r.handleEnd(now, m, region, err)
}

func (r *Replica) handleEnd(now time.Time, m endMessage, region string, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	if err := r.checkRegion(region); err != nil {
		return nil, err
	}
	return &peerpb.EndReply{Epoch: r.end(now, m)}, nil
}
