package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// lossCheckTime bounds a connection attempt of a check.
const lossCheckTime = 250 * time.Millisecond

// newQuarantineService returns the quarantine of an instance without peers.
func newQuarantineService(t *testing.T) *quarantineService {
	settings := quarantine.DefaultSettings()
	settings.Key = "a key for this test"
	service, err := quarantine.NewService(quarantine.Config{
		Transport: fake.NewNetwork().Transport("a/1"), InstancesIn: func([]string) []peer.InstanceID { return nil },
		Settings: settings, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &quarantineService{Service: service}
}

// Guards against sending a suspect to an upstream that it may have crashed.
func TestLeaveOfASuspectNamesTheLostUpstreams(t *testing.T) {
	is := is.New(t)
	s, route, print := newQuarantineService(t), &table.Route{Name: "r", Pool: "p"}, entry.Fingerprint{1}
	now, lost := time.Now(), quarantine.Upstream{Pool: "p", ID: "u", FailureDomain: "n1"}
	s.Service.RecordOutcome(now, now, lost, s.request(route, print), quarantine.Cut, nil)
	s.RecordRefusedConnection(now, lost)
	same, other := quarantine.Upstream{Pool: "p", ID: "u"}, quarantine.Upstream{Pool: "p", ID: "other"}
	is.Equal(s.LostDuring(s.request(route, print), []quarantine.Upstream{other, same}), []quarantine.Upstream{same})
	is.Equal(len(s.LostDuring(s.request(route, entry.Fingerprint{2}), []quarantine.Upstream{lost})), 0)
}

// Guards against late detection of the loss of an upstream after a single cut request. The
// repeat at another upstream would then not be a suspect, and a request that crashes
// upstreams could reach a third one.
func TestASingleCutIsCheckedAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	for _, c := range []struct {
		name string
		gone bool
		want quarantine.Verdict
	}{
		{"the upstream lives", false, quarantine.Run}, // one broken connection does not make a suspect
		{"the upstream is gone", true, quarantine.Serialize},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.gone {
				is.NoErr(l.Close())
			}
			s, route, print := newQuarantineService(t), &table.Route{Name: "r", Pool: "p"}, entry.Fingerprint{1}
			s.Ended(route, print, entry.RunEnd{Upstream: table.Upstream{ID: "u", Address: address}, Began: time.Now(), Lost: true})
			verdict := func() quarantine.Verdict { return s.Service.Admit(time.Now(), s.request(route, print)) }
			for end := time.Now().Add(2 * lossCheckTime); verdict() != quarantine.Serialize && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(verdict(), c.want)
		})
	}
}
