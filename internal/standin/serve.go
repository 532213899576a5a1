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
// and every connection, as the end of a process does, and new connections are
// refused until the restart.
func (u *Upstream) Serve(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if err := u.serveLife(ctx, l); err != nil {
			return err
		}
		pause.For(ctx, time.Until(u.restartAt()))
	}
	return nil
}

// serveLife serves until ctx ends or the upstream crashes.
func (u *Upstream) serveLife(ctx context.Context, l net.Listener) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(u.current(), end)()
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

// current returns the context of the present life.
func (u *Upstream) current() context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.revive()
	return u.life
}

func (u *Upstream) restartAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.downUntil
}
