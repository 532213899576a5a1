package kernel

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// stepLog records the lifecycle steps of services in order.
type stepLog struct {
	mu    sync.Mutex
	steps []string
}

func (j *stepLog) add(step string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.steps = append(j.steps, step)
}

func (j *stepLog) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Join(j.steps, " ")
}

// testService implements every lifecycle step and records it; each step can be made to fail.
type testService struct {
	name                                   string
	j                                      *stepLog
	provisionErr, validateErr, shutdownErr error
	runErr                                 chan error
	blockShutdown                          bool
}

func (p *testService) Provision(*Kernel) error { p.j.add("provision-" + p.name); return p.provisionErr }
func (p *testService) Validate() error         { p.j.add("validate-" + p.name); return p.validateErr }

func (p *testService) Run(ctx context.Context) error {
	select {
	case err := <-p.runErr:
		return err
	case <-ctx.Done():
		p.j.add("end-" + p.name)
		return ctx.Err()
	}
}

func (p *testService) Shutdown(ctx context.Context) error {
	p.j.add("shutdown-" + p.name)
	if p.blockShutdown {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.shutdownErr
}

func pair(j *stepLog) (a, b *testService, k *Kernel) {
	a, b = &testService{name: "a", j: j, runErr: make(chan error)}, &testService{name: "b", j: j, runErr: make(chan error)}
	k = New()
	_ = k.Register("x.a", a)
	_ = k.Register("x.b", b)
	return a, b, k
}

var errStep = errors.New("step failed")

// Guards against running services after a provision or validate step failed.
func TestFailedStepsEndTheStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		injectFault func(a, b *testService)
		want        string
	}{
		{"provision", func(a, _ *testService) { a.provisionErr = errStep }, "provision-a"},
		{"validate", func(_, b *testService) { b.validateErr = errStep }, "provision-a provision-b validate-a validate-b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var j stepLog
			a, b, k := pair(&j)
			c.injectFault(a, b)
			is.True(errors.Is(k.Run(t.Context(), t.Context()), errStep))
			is.Equal(j.text(), c.want)
		})
	}
}

// Guards against a shutdown in registration order, and against ending the Run of a
// service before all services are shut down.
func TestShutdownOrder(t *testing.T) {
	is := is.New(t)
	var j stepLog
	_, _, k := pair(&j)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(k.Run(ctx, t.Context()))
	is.True(strings.HasPrefix(j.text(), "provision-a provision-b validate-a validate-b shutdown-b shutdown-a end-"))
	is.Equal(strings.Count(j.text(), "end-"), 2)
}

// Guards against a process that continues after one of its services failed.
func TestFailureOfOneServiceEndsTheOthers(t *testing.T) {
	is := is.New(t)
	var j stepLog
	a, _, k := pair(&j)
	go func() { a.runErr <- errStep }()
	is.True(errors.Is(k.Run(t.Context(), t.Context()), errStep))
	is.True(strings.HasSuffix(j.text(), "end-b"))
}

// Guards against waiting for a blocked shutdown after the second signal, and against losing the error of another service's shutdown.
func TestShutdownIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var j stepLog
		a, b, k := pair(&j)
		a.shutdownErr, b.blockShutdown = errStep, true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		shutdownCtx, abort := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, abort)
		begin := time.Now()
		is.True(errors.Is(k.Run(ctx, shutdownCtx), errStep))
		is.Equal(time.Since(begin), time.Second)
	})
}

// Guards against a lookup that returns the wrong service or one that does not implement the type, and against duplicate names.
func TestLookup(t *testing.T) {
	is := is.New(t)
	var j stepLog
	a, _, k := pair(&j)
	got, err := Lookup[Runner](k, "x.a")
	is.NoErr(err)
	is.True(got == Runner(a))
	_, err = Lookup[interface{ Fly() }](k, "x.a")
	is.True(fault.Is(err, fault.Internal))
	_, err = Lookup[Runner](k, "x.c")
	is.True(fault.Is(err, fault.NotFound))
	is.True(fault.Is(k.Register("x.a", a), fault.Invalid))
	is.Equal(k.Names(), []string{"x.a", "x.b"})
}
