// Package kernel is the service registry of a process and runs its services.
// Services are registered under dotted names and look each other up by those
// names, so that a service can be replaced or faked without changing its users.
//
// The lifecycle of a service has these phases, each optional and defined by a
// small interface: provision (look up other services, build state), validate,
// run, and shut down. Services are provisioned in registration order and shut
// down in reverse order.
package kernel

import (
	"context"
	"errors"
	"sync"

	"github.com/oklog/run"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Provisioner is a service that builds its state and looks up other services before it runs.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is a service that checks its configuration and state after all services are provisioned.
type Validator interface {
	Validate() error
}

// Runner is a service with a main loop. Run returns when ctx ends or on failure.
type Runner interface {
	Run(ctx context.Context) error
}

// Stopper is a service with a graceful shutdown. Shutdown is called while every
// Runner is still running, so that a service can use the others to finish its work.
type Stopper interface {
	Shutdown(ctx context.Context) error
}

type entry struct {
	name    string
	service any
}

// Kernel is a registry of services.
type Kernel struct {
	mu       sync.RWMutex
	services []entry
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{} }

// Register adds a service under a dotted name.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.services {
		if e.name == name {
			return fault.Newf(fault.Invalid, "register each service once under its own name", "service %q is already registered", name)
		}
	}
	k.services = append(k.services, entry{name, service})
	return nil
}

// Names returns the registered names in registration order.
func (k *Kernel) Names() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	names := make([]string, len(k.services))
	for i, e := range k.services {
		names[i] = e.name
	}
	return names
}

// Lookup returns the service registered under name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	for _, e := range k.services {
		if e.name != name {
			continue
		}
		s, ok := e.service.(T)
		if !ok {
			return zero, fault.Newf(fault.Internal, "look the service up by an interface that it implements", "service %q has type %T", name, e.service)
		}
		return s, nil
	}
	return zero, fault.Newf(fault.NotFound, "register the service before the kernel is provisioned", "no service is named %q", name)
}

func (k *Kernel) snapshot() []entry {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return append([]entry(nil), k.services...)
}

// Provision provisions and then validates every service.
func (k *Kernel) Provision() error {
	services := k.snapshot()
	for _, e := range services {
		if p, ok := e.service.(Provisioner); ok {
			if err := p.Provision(k); err != nil {
				return err
			}
		}
	}
	for _, e := range services {
		if v, ok := e.service.(Validator); ok {
			if err := v.Validate(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Run provisions the services and runs them until ctx ends or one of them fails.
// When ctx ends, services are shut down in reverse order of registration.
// shutdownCtx bounds the shutdown: when it ends, the Shutdown calls and then Run
// return at once.
func (k *Kernel) Run(ctx, shutdownCtx context.Context) error {
	if err := k.Provision(); err != nil {
		return err
	}
	services := k.snapshot()
	var g run.Group
	for _, e := range services {
		if r, ok := e.service.(Runner); ok {
			runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
			g.Add(func() error { return r.Run(runCtx) }, func(error) { cancel() })
		}
	}
	stopped := make(chan struct{})
	var once sync.Once
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return k.shutdown(shutdownCtx, services)
		case <-stopped:
			return nil
		}
	}, func(error) { once.Do(func() { close(stopped) }) })
	err := g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (k *Kernel) shutdown(ctx context.Context, services []entry) error {
	var errs []error
	for i := len(services) - 1; i >= 0; i-- {
		if s, ok := services[i].service.(Stopper); ok {
			// A cancelled shutdown is intended and must not hide the errors of other services.
			if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}
