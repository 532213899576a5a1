package quota

import "github.com/turmericsail/turmericsail/pkg/peer/peerpb"

// clamp bounds a count received from a peer, so that sums cannot overflow.
func clamp(v uint32) int { return int(min(v, MaxUnits)) }

func requestToItem(resource string, r Request) *peerpb.GrantRequestItem {
	return &peerpb.GrantRequestItem{
		Resource: resource, Sequence: r.Sequence, Held: uint32(r.Held), Want: uint32(r.Want),
	}
}

func requestFromItem(i *peerpb.GrantRequestItem) Request {
	return Request{Sequence: i.GetSequence(), Held: clamp(i.GetHeld()), Want: clamp(i.GetWant())}
}

func replyToItem(resource string, r Reply) *peerpb.GrantReplyItem {
	return &peerpb.GrantReplyItem{
		Resource: resource, Sequence: r.Sequence, Epoch: r.Epoch, Granted: r.Granted,
		Units: uint32(r.Units), KeepOnly: r.KeepOnly, Contended: r.Contended, Limit: uint32(r.Limit),
	}
}

func replyFromItem(i *peerpb.GrantReplyItem) Reply {
	return Reply{
		Sequence: i.GetSequence(), Epoch: i.GetEpoch(), Granted: i.GetGranted(),
		Units: clamp(i.GetUnits()), KeepOnly: i.GetKeepOnly(), Contended: i.GetContended(),
		Limit: clamp(i.GetLimit()),
	}
}
