package kernel_test

import (
	"context"
	"fmt"

	"github.com/turmericsail/turmericsail/pkg/kernel"
)

type greeter interface{ Greet() string }

type english struct{}

func (english) Greet() string { return "hello" }

// speaker looks up another service by name in Provision.
type speaker struct {
	greeter greeter
	stop    context.CancelFunc
}

func (s *speaker) Provision(k *kernel.Kernel) (err error) {
	s.greeter, err = kernel.Lookup[greeter](k, "speech.greeter")
	return err
}

func (s *speaker) Run(ctx context.Context) error {
	fmt.Println(s.greeter.Greet())
	s.stop()
	<-ctx.Done()
	return ctx.Err()
}

func (s *speaker) Shutdown(context.Context) error {
	fmt.Println("goodbye")
	return nil
}

func Example() {
	ctx, stop := context.WithCancel(context.Background())
	k := kernel.New()
	_ = k.Register("speech.greeter", english{})
	_ = k.Register("speech.speaker", &speaker{stop: stop})
	fmt.Println(k.Run(ctx, context.Background()))
	// Output:
	// hello
	// goodbye
	// <nil>
}
