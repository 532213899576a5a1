package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

// upstreamRegistration holds the flags for registering a stand-in upstream in the platform's list, for pools with discover.
type upstreamRegistration struct {
	service string
	store   string
	region  string
	domain  string
}

func (l *upstreamRegistration) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&l.service, "discover", "", "service name under which to register in the platform's list; empty: not registered")
	f.StringVar(&l.store, "store", "http://127.0.0.1:8500", "base URL of the store, for --discover")
	f.StringVar(&l.region, "region", "", "region in the list")
	f.StringVar(&l.domain, "failure-domain", "", "failure domain in the list")
}

// register adds the upstream to the list and returns a function that removes it.
func (l *upstreamRegistration) register(ctx context.Context, id, address string) (leave func(), err error) {
	if l.service == "" {
		return func() {}, nil
	}
	kv, err := consulkv.New(consulkv.Config{Address: l.store})
	if err != nil {
		return nil, err
	}
	row := store.ListedInstance{Service: l.service, ID: id, Address: address, Region: l.region, FailureDomain: l.domain}
	if err := kv.Register(ctx, row); err != nil {
		return nil, err
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = kv.Deregister(ctx, row) // best effort: the process ends in any case
	}, nil
}
