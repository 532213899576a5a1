package cli

import (
	"context"
	"sync"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// instanceStatus is the status that one instance reported, or the error of asking it.
type instanceStatus struct {
	ID      string        `json:"id"`
	Admin   string        `json:"admin"`
	Leaving bool          `json:"leaving"` // according to the platform's list
	Error   string        `json:"error,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

// queryAll requests the status of every listed instance from its admin listener, concurrently.
func queryAll(ctx context.Context, list []store.ListedInstance) []instanceStatus {
	all := make([]instanceStatus, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() {
			all[i] = instanceStatus{ID: in.ID, Admin: in.Admin, Leaving: in.Leaving}
			s, err := admin.FetchStatus(ctx, in.Admin)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].Status = &s
		})
	}
	wg.Wait()
	return all
}
