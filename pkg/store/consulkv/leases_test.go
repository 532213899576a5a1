package consulkv_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

func sendPut(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader("v"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// Guards against a row that outlives its session, and against a lock that two sessions hold.
func TestSessionsLockAndLapse(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	url := startServer(t, s)
	long, err := c.Grant(ctx, "long", time.Hour)
	is.NoErr(err)
	short, err := c.Grant(ctx, "short", 100*time.Millisecond)
	is.NoErr(err)
	is.Equal(sendPut(t, url+"/v1/kv/l/a?acquire="+string(long)), "true")
	is.Equal(sendPut(t, url+"/v1/kv/l/a?acquire="+string(short)), "false")
	is.Equal(sendPut(t, url+"/v1/kv/l/a?release="+string(short)), "false")
	is.Equal(sendPut(t, url+"/v1/kv/l/a?release="+string(long)), "true")
	is.Equal(sendPut(t, url+"/v1/kv/l/b?acquire="+string(short)), "true")
	_, index, err := c.List(ctx, "l/")
	is.NoErr(err)
	got := <-watch(t, ctx, s, c, "l/", index) // returns when the session expires
	is.NoErr(got.err)
	is.Equal(len(got.entries), 1) // the row of the expired session is gone
	is.True(fault.Is(c.Renew(ctx, short), fault.NotFound))
	is.NoErr(c.Renew(ctx, long))
	is.NoErr(c.Release(ctx, long))
	is.True(fault.Is(c.Renew(ctx, long), fault.NotFound))
}

// Guards against a lease that is treated as granted although the store refused its time to live.
func TestShortLeaseIsRefused(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	s.SetSessionTTLMin(10 * time.Second)
	_, err := c.Grant(ctx, "short", 5*time.Second)
	is.True(fault.Is(err, fault.Invalid))
	_, err = c.Grant(ctx, "long", 10*time.Second)
	is.NoErr(err)
}

func instanceIDs(t *testing.T, ctx context.Context, c *consulkv.Client) string {
	t.Helper()
	list, err := c.Instances(ctx, "roster")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, in := range list {
		names = append(names, in.ID)
	}
	return strings.Join(names, " ")
}

// Guards against a listed instance that loses a field when it is registered and listed.
func TestListRoundTrip(t *testing.T) {
	is := is.New(t)
	_, c, ctx := start(t, consulkv.Config{})
	want := store.ListedInstance{Service: "roster", ID: "b", Address: "[::1]:8080", Region: "north", FailureDomain: "n1", Leaving: true, Admin: "[::1]:9901"}
	is.NoErr(c.Register(ctx, want))
	is.NoErr(c.Register(ctx, store.ListedInstance{Service: "roster", ID: "a", Address: "10.0.0.1:80"}))
	is.NoErr(c.Register(ctx, want)) // registering again replaces the entry
	list, err := c.Instances(ctx, "roster")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(list[1], want)
	is.NoErr(c.Deregister(ctx, want))
	is.NoErr(c.Deregister(ctx, want)) // gone already
	is.Equal(instanceIDs(t, ctx, c), "a")
	is.True(fault.Is(c.Register(ctx, store.ListedInstance{Service: "roster", ID: "x", Address: "nowhere"}), fault.Invalid))
}
