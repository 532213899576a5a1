package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/pause"
)

// Serve runs the upstream on an address until ctx ends. A crash closes the listener
// and every connection, as when a process ends, and new connections are refused
// until the restart.
func (u *Upstream) Serve(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if err := u.serveUntilCrash(ctx, l); err != nil {
			return err
		}
		pause.For(ctx, time.Until(u.restartAt()))
	}
	return nil
}

// serveUntilCrash serves until ctx ends or the upstream crashes.
func (u *Upstream) serveUntilCrash(ctx context.Context, l net.Listener) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(u.currentProcess(), end)()
	return Serve(ctx, l, &http.Server{Handler: u, ConnState: u.ConnState, ConnContext: u.ConnContext})
}

// Serve runs a server until ctx ends.
func Serve(ctx context.Context, l net.Listener, server *http.Server) error {
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// currentProcess returns the context of the simulated process that is running now.
func (u *Upstream) currentProcess() context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restartIfDue()
	return u.processCtx
}

func (u *Upstream) restartAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.downUntil
}
