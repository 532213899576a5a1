package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// waitInterval is the pause between rounds of status queries.
const waitInterval = 200 * time.Millisecond

// waitResult lists the instances by whether an edit is in force there.
type waitResult struct {
	InForce     []string `json:"in_force"`
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

// write prints the result; nil prints nothing.
func (r *waitResult) write(w io.Writer) {
	if r == nil {
		return
	}
	if len(r.InForce)+len(r.Behind)+len(r.Unreachable) == 0 {
		fmt.Fprintln(w, "the platform's list has no instance to wait for")
		return
	}
	fmt.Fprintf(w, "in force on %d instances\n", len(r.InForce))
	for _, id := range r.Behind {
		fmt.Fprintf(w, "not yet in force on %s\n", id)
	}
	for _, text := range r.Unreachable {
		fmt.Fprintf(w, "could not reach %s\n", text)
	}
}

// waitInForce waits until every instance of the platform's list that can be
// reached has at least the given revision in force. The list lags, so an
// instance that has just started may be missing from it; it starts with the
// store's revision, which is at least this one.
func waitInForce(ctx context.Context, lister store.Lister, revision uint64) (*waitResult, error) {
	list, err := lister.Instances(ctx, store.ServiceName)
	if err != nil {
		return nil, err
	}
	for {
		// A round is not cancelled when the wait ends: cancelled queries would be reported as unreachable instances.
		result := classify(queryAll(context.WithoutCancel(ctx), list), revision)
		if len(result.Behind) == 0 {
			return result, nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return result, fault.Newf(fault.Exhausted, "the edit remains in the store; check again with the status command",
				"the time to wait ended before revision %d was in force on every instance that can be reached", revision)
		}
	}
}

func classify(all []instanceStatus, revision uint64) *waitResult {
	r := &waitResult{InForce: []string{}, Behind: []string{}, Unreachable: []string{}}
	for _, in := range all {
		switch {
		case in.Status == nil:
			r.Unreachable = append(r.Unreachable, in.ID+": "+in.Error)
		case in.Status.Revision < revision:
			r.Behind = append(r.Behind, in.ID)
		default:
			r.InForce = append(r.InForce, in.ID)
		}
	}
	return r
}
