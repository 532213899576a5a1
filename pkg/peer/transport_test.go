package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// startTransport runs a transport on a loopback port and adds its address to addresses,
// which all transports of a test share as their resolver.
func startTransport(t *testing.T, addresses map[InstanceID]string, id InstanceID, change func(*Settings)) *TCPTransport {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{ID: id, Listener: l, BackoffMin: table.Duration(time.Millisecond)}
	if change != nil {
		change(&s)
	}
	tr, err := New(s, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	addresses[id] = l.Addr().String()
	tr.SetResolver(func(id InstanceID) (string, bool) { a, ok := addresses[id]; return a, ok })
	tr.Handle("echo", func(_ context.Context, _ InstanceID, request []byte) (proto.Message, error) {
		var m wrapperspb.StringValue
		return &m, proto.Unmarshal(request, &m)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return tr
}

func echo(t *TCPTransport, to InstanceID, service string) (string, error) {
	var out wrapperspb.StringValue
	err := t.Call(context.Background(), to, service, wrapperspb.String("hello"), &out)
	return out.GetValue(), err
}

// Guards against an error whose kind changes on the way to the caller, and against an
// unknown service or a handler's error closing the connection.
func TestErrorsKeepTheirKindAndTheConnection(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	a, b := startTransport(t, addresses, "a/1", nil), startTransport(t, addresses, "b/1", nil)
	b.Handle("conflict", func(context.Context, InstanceID, []byte) (proto.Message, error) {
		return nil, fault.New(fault.Conflict, "taken", "read again")
	})
	b.Handle("plain", func(context.Context, InstanceID, []byte) (proto.Message, error) { return nil, errors.New("x") })
	for _, c := range []struct {
		to      InstanceID
		service string
		kind    fault.Kind
	}{
		{"b/1", "echo", ""}, {"b/1", "none", fault.Unavailable}, {"b/1", "conflict", fault.Conflict},
		{"b/1", "plain", fault.Internal}, {"c/1", "echo", fault.Unavailable}, {"a/1", "echo", ""}, {"b/1", "echo", ""},
	} {
		_, err := echo(a, c.to, c.service)
		is.Equal(err == nil, c.kind == "")
		if err != nil {
			is.Equal(fault.KindOf(err), c.kind)
		}
		is.Equal(errors.Is(err, ErrUnknownService), c.service == "none")
	}
	is.Equal(a.Stats().Established, uint64(1)) // every call used the same connection
	addresses["b/2"] = addresses["b/1"]
	_, err := echo(a, "b/2", "echo")
	is.Equal(fault.KindOf(err), fault.Unavailable) // another incarnation must not get the call
	is.True(errors.Is(err, ErrOtherIncarnation))
}

// Guards against a call that fails with Unavailable although its handler ran.
func TestABrokenConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	a, b := startTransport(t, addresses, "a/1", nil), startTransport(t, addresses, "b/1", nil)
	b.Handle("break", func(context.Context, InstanceID, []byte) (proto.Message, error) {
		for _, s := range b.allSessions() {
			b.closeSession(s)
		}
		return &wrapperspb.StringValue{}, nil
	})
	_, err := echo(a, "b/1", "break")
	is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	eventually(t, func() bool { _, err := echo(a, "b/1", "echo"); return err == nil }) // reconnects
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for !f() {
		if t.Context().Err() != nil {
			t.FailNow()
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a deadline that does not reach the handler, and a handler that continues
// after its caller cancelled.
func TestDeadlinesAndCancellationReachTheHandler(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	a, b := startTransport(t, addresses, "a/1", nil), startTransport(t, addresses, "b/1", nil)
	left := make(chan time.Duration, 1)
	entered, ended := make(chan struct{}), make(chan error, 1)
	b.Handle("deadline", func(ctx context.Context, _ InstanceID, _ []byte) (proto.Message, error) {
		d, _ := ctx.Deadline()
		left <- time.Until(d)
		return &wrapperspb.StringValue{}, nil
	})
	b.Handle("hang", func(ctx context.Context, _ InstanceID, _ []byte) (proto.Message, error) {
		close(entered)
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	is.NoErr(a.Call(ctx, "b/1", "deadline", &wrapperspb.StringValue{}, &wrapperspb.StringValue{}))
	is.True(<-left > time.Minute) // the default would be 10 s
	go func() { <-entered; cancel() }()
	err := a.Call(ctx, "b/1", "hang", &wrapperspb.StringValue{}, &wrapperspb.StringValue{})
	is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	is.Equal(<-ended, context.Canceled)
}

// Guards against two connections remaining open after both sides dialled at once.
func TestOneConnectionForEachPair(t *testing.T) {
	addresses := map[InstanceID]string{}
	a, b := startTransport(t, addresses, "a/1", nil), startTransport(t, addresses, "b/1", nil)
	var dialCount atomic.Int32
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		for dialCount.Add(1); dialCount.Load() < 2; { // both have dialled before either sends Hello
			time.Sleep(time.Millisecond)
		}
		return c, err
	}
	a.settings.Dial, b.settings.Dial = dial, dial
	done := make(chan error, 2)
	go func() { _, err := echo(a, "b/1", "echo"); done <- err }()
	go func() { _, err := echo(b, "a/1", "echo"); done <- err }()
	is := is.New(t)
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.Equal(a.Stats().Established, uint64(2))
	eventually(t, func() bool { return a.Stats().Sessions == 1 && b.Stats().Sessions == 1 })
	is.True(a.allSessions()[0].dialled) // the smaller ID's connection stays
	_, err := echo(b, "a/1", "echo")
	is.NoErr(err)
	is.Equal(b.Stats().Established, uint64(2))
}

// Guards against a newer release's frames breaking the connection of an older one.
func TestFramesOfANewerReleaseAreSkipped(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	b := startTransport(t, addresses, "b/1", nil)
	conn, err := net.Dial("tcp", addresses["b/1"])
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(writeFrame(conn, &peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Version: 9, Id: "new/1"}}}))
	_, _, err = readFrame(conn, maxHello)
	is.NoErr(err)
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	mux, err := yamux.Client(conn, cfg)
	is.NoErr(err)
	defer mux.Close()
	stream, err := mux.Open()
	is.NoErr(err)
	is.NoErr(writeFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Open{Open: &peerpb.Open{}}}))
	unknownKind := []byte{9, 0, 0, 0, 3, 0xfa, 0x01, 0x00} // version 9, field 31
	notProtobuf := []byte{9, 0, 0, 0, 2, 0xff, 0xff}
	withField := mustEncode(is, &peerpb.Frame{Kind: &peerpb.Frame_Request{Request: &peerpb.Request{Id: 7, Service: "echo"}}})
	withField = append(withField, 0xfa, 0x01, 0x00) // an unknown field in a known kind
	withField[4] += 3
	_, err = stream.Write(bytes.Join([][]byte{unknownKind, notProtobuf, withField}, nil))
	is.NoErr(err)
	f, _, err := readFrame(stream, maxHello)
	is.NoErr(err)
	is.Equal(f.GetResponse().GetId(), uint64(7))
	is.Equal(b.Stats().Skipped, uint64(2))
}

func mustEncode(is *is.I, f *peerpb.Frame) []byte {
	data, err := encodeFrame(f, maxHello)
	is.NoErr(err)
	return data
}

// Guards against bytes of a stream being lost or read as part of its first frame, and
// against a stream that stays open after Close.
func TestStreamsCarryBytes(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	a, b := startTransport(t, addresses, "a/1", nil), startTransport(t, addresses, "b/1", nil)
	b.HandleStream("copy", func(_ InstanceID, c net.Conn) { io.Copy(c, c); c.Close() })
	c, err := a.Open(t.Context(), "b/1", "copy")
	is.NoErr(err)
	sent := bytes.Repeat([]byte("turmeric"), 100_000)
	go c.Write(sent)
	got := make([]byte, len(sent))
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.True(bytes.Equal(sent, got))
	is.NoErr(c.Close())
	_, err = c.Read(got)
	is.True(err != nil)
	_, err = a.Open(t.Context(), "b/1", "none")
	is.True(errors.Is(err, ErrUnknownService))
	is.Equal(fault.KindOf(err), fault.Unavailable)
	eventually(t, func() bool { return !b.allSessions()[0].busy() })
}

// Guards against a queue that grows without bound while the other side does not read.
func TestAFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	ch := newChannel(&session{t: &TCPTransport{settings: Settings{QueueLength: 2}}}, nil, CallPath)
	is.NoErr(ch.enqueue(outgoing{}))
	is.NoErr(ch.enqueue(outgoing{}))
	is.Equal(fault.KindOf(ch.enqueue(outgoing{})), fault.Exhausted)
}

// Guards against closing a connection as unused while a byte stream is being opened on it.
func TestSessionStaysWhileAStreamIsOpened(t *testing.T) {
	is := is.New(t)
	addresses := map[InstanceID]string{}
	a := startTransport(t, addresses, "a/1", func(s *Settings) { s.IdleTimeout = table.Duration(50 * time.Millisecond) })
	b := startTransport(t, addresses, "b/1", nil)
	b.HandleStream("copy", func(_ InstanceID, c net.Conn) { io.Copy(c, c); c.Close() })
	_, err := echo(a, "b/1", "echo")
	is.NoErr(err)
	b.mu.Lock() // the stream is accepted late
	time.AfterFunc(2*reapInterval+500*time.Millisecond, b.mu.Unlock)
	c, err := a.Open(t.Context(), "b/1", "copy")
	is.NoErr(err)
	is.NoErr(c.Close())
}
