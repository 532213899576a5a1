package peertest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

func echo(count *atomic.Int64) peer.Handler {
	return func(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
		count.Add(1)
		var m wrapperspb.StringValue
		err := proto.Unmarshal(request, &m)
		return &m, err
	}
}

func newPair(seed uint64) (*Network, *Node, *Node, *atomic.Int64) {
	n := New(seed)
	a, b := n.Join("a/1", "10.0.0.1:7000"), n.Join("b/1", "10.0.0.2:7000")
	count := new(atomic.Int64)
	b.Handle("echo", echo(count))
	return n, a, b, count
}

func call(a *Node, to peer.InstanceID, service string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var out wrapperspb.StringValue
	err := a.Call(ctx, to, service, wrapperspb.String("hello"), &out)
	return out.GetValue(), err
}

// Guards against an injected fault that gives the wrong error kind or runs the handler a wrong number of times.
func TestFaultsGiveTheErrorKindsOfARealNetwork(t *testing.T) {
	allCut := func(_, _ peer.InstanceID) bool { return true }
	answersCut := func(from, _ peer.InstanceID) bool { return from == "b/1" }
	for _, c := range []struct {
		name    string
		to      peer.InstanceID
		service string
		set     func(n *Network)
		kind    fault.Kind
		handled int64
	}{
		{"healthy", "b/1", "echo", func(*Network) {}, "", 1},
		{"doubled", "b/1", "echo", func(n *Network) { n.SetFaults(Faults{Duplicate: 1}) }, "", 2},
		{"request lost", "b/1", "echo", func(n *Network) { n.SetPartition(allCut) }, fault.OutcomeUnknown, 0},
		{"answer lost", "b/1", "echo", func(n *Network) { n.SetPartition(answersCut) }, fault.OutcomeUnknown, 1},
		{"crashed", "b/1", "echo", func(n *Network) { n.Crash("b/1") }, fault.Unavailable, 0},
		{"other incarnation", "b/2", "echo", func(*Network) {}, fault.Unavailable, 0},
		{"paused", "b/1", "echo", func(n *Network) { n.Pause("b/1") }, fault.OutcomeUnknown, 1},
		{"unknown service", "b/1", "none", func(*Network) {}, fault.Unavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, a, _, count := newPair(1)
				c.set(n)
				text, err := call(a, c.to, c.service)
				if c.kind == "" {
					is.NoErr(err)
					is.Equal(text, "hello")
				} else {
					is.Equal(fault.KindOf(err), c.kind)
				}
				is.Equal(errors.Is(err, peer.ErrUnknownService), c.service == "none")
				n.Resume("b/1")
				time.Sleep(time.Second)
				is.Equal(count.Load(), c.handled)
			})
		})
	}
}

// Guards against a call that does not take the latency of both directions in virtual time.
func TestACallTakesTwoLatencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, _, _ := newPair(1)
		n.SetLatency(func(_, _ peer.InstanceID) time.Duration { return 12 * time.Millisecond })
		start := time.Now()
		_, err := call(a, "b/1", "echo")
		is.NoErr(err)
		is.Equal(time.Since(start), 24*time.Millisecond)
	})
}

// Guards against a stream that stays open across a partition.
func TestPartitionClosesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b, _ := newPair(1)
		b.HandleStream("copy", func(_ peer.InstanceID, c net.Conn) { io.Copy(c, c); c.Close() })
		c, err := a.Open(t.Context(), "b/1", "copy")
		is.NoErr(err)
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, 1))
		is.NoErr(err)
		n.SetPartition(func(_, _ peer.InstanceID) bool { return true })
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil)
	})
}

func Example() {
	n := New(1)
	a, b := n.Join("a/1", "10.0.0.1:7000"), n.Join("b/1", "10.0.0.2:7000")
	b.Handle("greet", func(_ context.Context, from peer.InstanceID, _ []byte) (proto.Message, error) {
		return wrapperspb.String("hello " + from.Name()), nil
	})
	var out wrapperspb.StringValue
	err := a.Call(context.Background(), "b/1", "greet", wrapperspb.String(""), &out)
	fmt.Println(out.GetValue(), err)
	// Output: hello a <nil>
}
