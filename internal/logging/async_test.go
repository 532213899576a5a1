package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatedWriter is an output whose writes block until gate is closed.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *gatedWriter) Write(p []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *gatedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a slow log output blocking the caller, and against dropping lines without reporting it.
func TestBlockedOutputDropsAndReports(t *testing.T) {
	is := is.New(t)
	out := &gatedWriter{gate: make(chan struct{})}
	a := NewAsync(out)
	log := NewSampled(a)
	start := time.Now()
	for range 2 * queueLines {
		log.Info("refused")
	}
	is.True(time.Since(start) < 5*time.Second) // no call blocked on the output
	close(out.gate)
	a.Close()
	is.True(strings.Contains(out.String(), `"msg":"log lines left out","dropped":`))
}

// Guards against unlimited routine lines, and against sampling lines of verbosity 0.
func TestOnlyRoutineLinesAreSampled(t *testing.T) {
	is := is.New(t)
	out := &gatedWriter{gate: make(chan struct{})}
	close(out.gate)
	a := NewAsync(out)
	log := NewSampled(a).WithName("entry").WithValues("instance", "e1")
	for range 1500 {
		log.V(1).Info("answered")
		log.Info("refused")
	}
	a.Close()
	is.Equal(strings.Count(out.String(), `"refused"`), 1500)
	answered := strings.Count(out.String(), `"answered"`)
	is.True(answered >= routineBurst && answered < 1500)
	is.True(!strings.Contains(out.String(), "%!"))
}
