package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/placement"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// peers is the transport to the other instances.
type peers struct {
	base
	*peer.TCPTransport
}

var (
	_ kernel.Provisioner = (*peers)(nil)
	_ kernel.Runner      = (*peers)(nil)
	_ peer.Transport     = (*peers)(nil)
)

// Provision implements kernel.Provisioner.
func (p *peers) Provision(*kernel.Kernel) error {
	s, err := PeerSettings(p.cfg)
	if err != nil {
		return err
	}
	p.TCPTransport, err = peer.New(s, p.log)
	return err
}

// PeerSettings returns the settings of a transport with a new instance ID, the
// credentials of the instance's settings and an open listener.
func PeerSettings(cfg settings.Settings) (peer.Settings, error) {
	s := peer.Settings{ID: instanceID(cfg)}
	if files := cfg.Peers.TLS; files != nil {
		conf, err := tlsconf.Peer(*files)
		if err != nil {
			return s, err
		}
		s.TLS, s.VerifyPeer = conf, verifyInstanceName
	}
	listener, err := net.Listen("tcp", cfg.Peers.Listen)
	if err != nil {
		return s, fault.Wrap(fault.Unavailable, err, "the peers' listener cannot be opened", "correct $.peers.listen or end the process that has the address")
	}
	s.Listener = listener
	return s, nil
}

// callPathServices are prefixes of services whose messages a request waits for, or that
// move records to new members of a view. This traffic grows with the number of requests, so
// the control byte budget would delay requests. All other services are subject to it.
var callPathServices = []string{placement.ServiceName, "once.", "view.seal"}

// Call implements peer.Transport.
func (p *peers) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	if slices.ContainsFunc(callPathServices, func(prefix string) bool { return strings.HasPrefix(service, prefix) }) {
		ctx = peer.WithTraffic(ctx, peer.CallPath)
	}
	return p.TCPTransport.Call(ctx, to, service, request, response)
}

// verifyInstanceName checks that a certificate names the instance that its holder claims
// to be, so that one leaked key cannot impersonate every instance.
func verifyInstanceName(id peer.InstanceID, state tls.ConnectionState) error {
	cert := state.PeerCertificates[0]
	if !namesInstance(cert, id.Name()) {
		return fault.Newf(fault.Refused, "issue the certificate with the instance's name as a DNS name or common name", "the certificate does not name instance %q", id.Name())
	}
	return nil
}

func namesInstance(cert *x509.Certificate, name string) bool {
	for _, n := range cert.DNSNames {
		if n == name {
			return true
		}
	}
	return cert.Subject.CommonName == name
}

// members tracks the instances of the deployment.
type members struct {
	base
	*membership.Tracker
}

var (
	_ kernel.Provisioner = (*members)(nil)
	_ kernel.Runner      = (*members)(nil)
	_ view.Members       = (*members)(nil)
)

// Provision implements kernel.Provisioner.
func (m *members) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[*peers](k, PeerTransport)
	if err != nil {
		return err
	}
	kv, err := kernel.Lookup[storeClient](k, StoreKV)
	if err != nil {
		return err
	}
	m.Tracker, err = membership.New(membership.Settings{
		Address: m.cfg.Peers.Advertise, Admin: m.cfg.Admin.Advertise,
		Region: m.cfg.Region, FailureDomain: m.cfg.FailureDomain, Seeds: m.cfg.Peers.Seeds,
	}, transport, membership.Sources{Leases: kv, LeaseLister: kv, Lister: kv, Registrar: kv}, m.log)
	if err != nil {
		return err
	}
	transport.SetResolver(m.Address)
	return nil
}

// Live implements view.Members.
func (m *members) Live() []view.Instance {
	live := m.View().Live(membership.Fleet())
	out := make([]view.Instance, len(live))
	for i, x := range live {
		out[i] = view.Instance{ID: x.ID, Region: x.Region, FailureDomain: x.FailureDomain}
	}
	return out
}

// storeClient is the part of the platform's store that the daemon needs.
type storeClient interface {
	store.KV
	store.Leases
	store.LeaseLister
	store.Lister
	store.Registrar
}
