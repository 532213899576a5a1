package cli

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

// soleMember is the membership of a single instance, which holds every role.
type soleMember struct{}

func (soleMember) View() *membership.View                   { return &membership.View{Ready: true} }
func (soleMember) Changed() <-chan struct{}                 { return nil }
func (soleMember) Holds(string, membership.Scope, int) bool { return true }

// startConfigSync runs the configsync service of an instance, which assigns revisions to edits.
func startConfigSync(t *testing.T, url string) {
	is := is.New(t)
	kv, err := consulkv.New(consulkv.Config{Address: url, WatchWait: time.Second})
	is.NoErr(err)
	y := configsync.New(configsync.Settings{}, peertest.New(1).Join("a/1", "10.0.0.1:1"), soleMember{}, kv, logr.Discard())
	ended := make(chan error, 1)
	go func() { ended <- y.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
}
