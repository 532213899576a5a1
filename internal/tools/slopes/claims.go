package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/idempotency"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

const (
	// claimService is the name of the peer service that grants claims.
	claimService = "once.claim"
	// claimWindow is the record window of the claims.
	claimWindow = 10 * time.Minute
	// claimMemory is the memory limit of the replica, 1 TiB, which no measurement reaches.
	claimMemory = 1 << 40
	claimRegion = "north"
)

// handlerRegistry is a transport that only registers handlers, so that the
// handlers of a replica can be called without a network.
type handlerRegistry struct {
	peer.Transport
	byName map[string]peer.Handler
}

func (h handlerRegistry) Handle(service string, f peer.Handler) { h.byName[service] = f }

// heapByClaims measures how the heap grows with the number of claims held.
func heapByClaims() ([]series, error) {
	s := series{file: "heap-by-claims", x: "claims held", y: "heap of the replica (bytes)"}
	for _, n := range []int{100_000, 300_000, 1_000_000} {
		size, err := measureClaimsHeap(n)
		if err != nil {
			return nil, err
		}
		s.points = append(s.points, point{float64(n), size})
	}
	return []series{s}, nil
}

// measureClaimsHeap returns the heap growth in bytes of a replica that holds the
// given number of claims without stored answers.
func measureClaimsHeap(count int) (float64, error) {
	before := liveHeapBytes()
	r := idempotency.NewReplica(claimRegion, claimMemory, time.Now())
	r.Open(1)
	h := handlerRegistry{byName: map[string]peer.Handler{}}
	r.Serve(h)
	for n := range count {
		if err := claim(h.byName[claimService], uint64(n)); err != nil {
			return 0, err
		}
	}
	after := liveHeapBytes()
	runtime.KeepAlive(r)
	return float64(after) - float64(before), nil
}

// claim makes one claim. The counter is stored at the end of the key, because the
// last byte of the key selects the shard of the replica.
func claim(handle peer.Handler, n uint64) error {
	key := binary.BigEndian.AppendUint64(make([]byte, 8, 16), n)
	claimant := peer.InstanceID(fmt.Sprintf("instance-%d/0123456789abcdef", n%18))
	data, err := proto.Marshal(&peerpb.ClaimRequest{
		Region: claimRegion, Epoch: 1, Key: key, Id: &peerpb.ClaimID{Claimant: string(claimant), Sequence: n},
		Digest: make([]byte, 16), WindowMs: uint64(claimWindow.Milliseconds()),
	})
	if err != nil {
		return err
	}
	reply, err := handle(context.Background(), claimant, data)
	if err != nil {
		return err
	}
	if v := reply.(*peerpb.ClaimReply).GetVerdict(); v != peerpb.ClaimReply_VERDICT_GRANTED {
		return fmt.Errorf("claim %d got %v", n, v)
	}
	return nil
}
