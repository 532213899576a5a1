// Package settings defines the static settings of an instance. They are read
// once at start; everything that changes while the instance runs is in the
// tables.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings are the settings of one instance. Durations are strings with a unit
// ("250ms"), sizes too ("64KiB").
type Settings struct {
	// Instance is the name of the instance, unique in the deployment. It appears in status, logs and the
	// platform's list. Required.
	Instance string `json:"instance"`
	// Region is the region that the instance runs in. Routes with home regions are served only by instances
	// in these. Required.
	Region string `json:"region"`
	// FailureDomain is the failure domain that the instance runs in. Replicas and roles are spread over
	// failure domains. Required.
	FailureDomain string `json:"failure_domain"`
	// Callers is the listener for callers' requests. Required.
	Callers Listener `json:"callers"`
	// Peers is the listener for other instances. Required.
	Peers Listener `json:"peers"`
	// Admin is the listener for operators and monitoring.
	Admin Admin `json:"admin,omitzero"`
	// Store tells where the platform's key-value service is. Required.
	Store Store `json:"store"`
	// Regions lists every region of the deployment, the same on all instances. The
	// records of requests without home regions are spread over them, so instances with
	// different lists would look for the record of one request in different regions. Required.
	Regions []string `json:"regions"`
	// QuarantineKey is the key of the fingerprints that instances share about
	// requests that coincide with the loss of upstreams: at least 16 characters, the
	// same on all instances. Set it where others could guess requests.
	QuarantineKey string `json:"quarantine_key,omitempty"`
	// Limits bounds what callers may send.
	Limits Limits `json:"limits,omitzero"`
	// Shutdown sets the times of a graceful shut-down.
	Shutdown Shutdown `json:"shutdown,omitzero"`
	// Log sets what is logged. Logs are JSON lines on standard error, or on standard output on the platform.
	Log Log `json:"log,omitzero"`
	// Platform runs the instance on the users' platform: the tables come from the platform's store, store
	// is not used, and without peers the instance reads that store by itself. Default: none.
	Platform *Platform `json:"platform,omitempty"`
}

// Platform tells where the users' platform is.
type Platform struct {
	// Store is the address of the platform's metadata store, as IP:port. Required.
	Store string `json:"store"`
	// Domains maps each failure domain to its region. Required.
	Domains map[string]string `json:"domains"`
	// Bounds lists the figures of the platform's rules, each as name=value. Default: none.
	Bounds []string `json:"bounds,omitempty"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s. Instances with slow links read the store
	// for others only when no other instance does. Default 0: not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Listener is a TCP listener with its TLS settings.
type Listener struct {
	// Listen is the address to listen on, as IP:port. Required.
	Listen string `json:"listen"`
	// Advertise is the address, as IP:port, under which others reach the listener. Default: listen.
	Advertise string `json:"advertise,omitempty"`
	// TLS holds the certificate files; they are read again when they change. Required unless plaintext is true.
	TLS *TLS `json:"tls,omitempty"`
	// Plaintext must be true for a listener without TLS, so that encryption is never left out by oversight.
	// Default false.
	Plaintext bool `json:"plaintext,omitempty"`
	// Seeds are peers' addresses, as IP:port, that an instance tries while the platform's list or store
	// cannot be read. Only for peers. Default: none.
	Seeds []string `json:"seeds,omitempty"`
}

// TLS names certificate files in PEM form.
type TLS struct {
	// Certificate is the path of the file with the certificate chain. Required.
	Certificate string `json:"certificate"`
	// Key is the path of the file with the private key. Required.
	Key string `json:"key"`
	// CA is the path of the file with the authorities that the other side's certificate must come from.
	// Required for peers; for callers it turns on client certificates. Default: none.
	CA string `json:"ca,omitempty"`
}

// Admin is the operators' listener.
type Admin struct {
	// Listen is the address to listen on, as IP:port. It serves /livez, /readyz, /metrics, /status and /schema
	// without authentication, so keep it off callers' networks. Default 127.0.0.1:9901.
	Listen string `json:"listen,omitempty"`
	// Advertise is the address, as IP:port, under which operators' commands reach the listener; it is
	// published in the platform's list. Default: listen.
	Advertise string `json:"advertise,omitempty"`
	// Pprof serves profiles under /debug/pprof when true. Default false.
	Pprof bool `json:"pprof,omitempty"`
}

// Store tells where the platform's key-value service is.
type Store struct {
	// Address is the base URL of the store's HTTP API, such as http://10.0.0.1:8500. Required.
	Address string `json:"address"`
	// Timeout bounds each call other than a watch. A write that takes longer is resolved by reading back.
	// Default 2s.
	Timeout table.Duration `json:"timeout,omitempty"`
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes bounds a request's header, in bytes with a unit. Larger ones get status 431. Default 64KiB.
	HeaderBytes table.Size `json:"header_bytes,omitempty"`
	// BodyBytes bounds a request's body unless its route sets a bound, in bytes with a unit. Larger ones get
	// status 413. Default 4GiB.
	BodyBytes table.Size `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time to receive a request's header; slower connections are closed. Default 5s.
	HeaderTimeout table.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is the time after which a caller's idle connection is closed. Default 2m.
	IdleTimeout table.Duration `json:"idle_timeout,omitempty"`
	// RecordBytes bounds the memory of at-most-once records, in bytes with a unit. When it is full, new
	// requests with an identity are refused; no record is dropped inside its window. Default 256MiB.
	RecordBytes table.Size `json:"record_bytes,omitempty"`
	// MaxInstances is the largest number of instances of the deployment. Each instance owns this fraction of
	// an upstream's connections without asking others. Default 32.
	MaxInstances int `json:"max_instances,omitempty"`
}

// Shutdown sets the times of a graceful shut-down.
type Shutdown struct {
	// Notice is how long the instance reports itself as leaving before it stops accepting. Set it above the
	// time that the platform's balancer needs to notice. Default 2s.
	Notice table.Duration `json:"notice,omitempty"`
	// Grace bounds the whole shut-down; requests that still run then are cut off. Default 0s: wait for all.
	Grace table.Duration `json:"grace,omitempty"`
}

// Log sets what is logged.
type Log struct {
	// Requests logs one line for each request when true. Default false.
	Requests bool `json:"requests,omitempty"`
	// Debug logs details of control decisions when true. Default false.
	Debug bool `json:"debug,omitempty"`
}

// Load reads, defaults and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.NotFound, err, "the settings file cannot be read", "name a readable JSON file")
	}
	return Parse(data)
}

// Parse decodes, defaults and validates settings.
func Parse(data []byte) (Settings, error) {
	var s Settings
	p, err := table.Decode(data, &s)
	if err != nil {
		return s, err
	}
	s.setDefaults()
	return s, p.Merge(s.Validate()).Err()
}

// defaultQuarantineKey keeps fingerprints equal on all instances without a setting.
const defaultQuarantineKey = "turmericsail fingerprints"

const minQuarantineKey = 16

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.Admin.Listen, "127.0.0.1:9901")
	setDefault(&s.Admin.Advertise, s.Admin.Listen)
	setDefault(&s.Store.Timeout, table.Duration(2*time.Second))
	setDefault(&s.QuarantineKey, defaultQuarantineKey)
	setDefault(&s.Limits.RecordBytes, 256<<20)
	setDefault(&s.Limits.HeaderBytes, 64<<10)
	setDefault(&s.Limits.BodyBytes, 4<<30)
	setDefault(&s.Limits.HeaderTimeout, table.Duration(5*time.Second))
	setDefault(&s.Limits.IdleTimeout, table.Duration(2*time.Minute))
	setDefault(&s.Limits.MaxInstances, 32)
	setDefault(&s.Shutdown.Notice, table.Duration(2*time.Second))
	setDefault(&s.Callers.Advertise, s.Callers.Listen)
	setDefault(&s.Peers.Advertise, s.Peers.Listen)
}

// Validate returns every problem of the settings.
func (s *Settings) Validate() table.Problems {
	var p table.Problems
	for _, f := range []struct{ path, value string }{
		{"$.instance", s.Instance}, {"$.region", s.Region}, {"$.failure_domain", s.FailureDomain},
	} {
		if f.value == "" {
			p.Add(f.path, "is empty", "set it")
		}
	}
	if !slices.Contains(s.Regions, s.Region) {
		p.Add("$.regions", "does not name this instance's region", "list every region of the deployment, the same on all instances")
	}
	if len(s.QuarantineKey) < minQuarantineKey {
		p.Add("$.quarantine_key", "is shorter than 16 characters", "give all instances the same random key, or leave it out")
	}
	addresses(&p, "$.admin", s.Admin.Listen, s.Admin.Advertise)
	s.Callers.validate(&p, "$.callers", false)
	if s.Platform != nil {
		s.Platform.validate(&p, s)
	}
	if s.Platform == nil || s.Peers.Listen != "" {
		s.Peers.validate(&p, "$.peers", true)
	}
	if s.Platform == nil {
		s.Store.validate(&p)
	}
	s.validateLimits(&p)
	return p
}

func (f *Platform) validate(p *table.Problems, s *Settings) {
	address(p, "$.platform.store", f.Store)
	if f.Domains[s.FailureDomain] != s.Region {
		p.Add("$.platform.domains", "does not map this instance's failure domain to its region", "list every failure domain of the deployment with its region")
	}
}

func (s *Store) validate(p *table.Problems) {
	u, err := url.Parse(s.Address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.Add("$.store.address", fmt.Sprintf("%q is not an HTTP URL", s.Address), `write it as "http://10.0.0.1:8500"`)
	}
}

func (s *Settings) validateLimits(p *table.Problems) {
	if s.Limits.MaxInstances < 1 {
		p.Add("$.limits.max_instances", "is less than 1", "give the largest number of instances of the deployment")
	}
	for _, d := range []struct {
		path  string
		value table.Duration
	}{
		{"$.store.timeout", s.Store.Timeout}, {"$.limits.header_timeout", s.Limits.HeaderTimeout},
		{"$.limits.idle_timeout", s.Limits.IdleTimeout},
		{"$.shutdown.notice", s.Shutdown.Notice}, {"$.shutdown.grace", s.Shutdown.Grace},
	} {
		if d.value < 0 {
			p.Add(d.path, "is negative", "give zero or a positive duration")
		}
	}
}

func (l *Listener) validate(p *table.Problems, path string, mutual bool) {
	addresses(p, path, l.Listen, l.Advertise)
	switch {
	case l.TLS == nil && !l.Plaintext:
		p.Add(path+".tls", "is missing", "name certificate and key, or set plaintext to true")
	case l.TLS != nil && l.Plaintext:
		p.Add(path+".plaintext", "is true beside tls", "keep one of the two")
	case l.TLS != nil && (l.TLS.Certificate == "" || l.TLS.Key == ""):
		p.Add(path+".tls", "lacks a certificate or key", "name both files")
	case l.TLS != nil && mutual && l.TLS.CA == "":
		p.Add(path+".tls.ca", "is missing", "name the authority that signs the instances' certificates")
	}
}

// addresses checks both addresses of a listener. One that is advertised by
// default has the fault of the other and is not reported again.
func addresses(p *table.Problems, path, listen, advertise string) {
	address(p, path+".listen", listen)
	if advertise != listen {
		address(p, path+".advertise", advertise)
	}
}

func address(p *table.Problems, path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		p.Add(path, fmt.Sprintf("%q is not host:port", value), `write it as "10.0.0.1:8080"`)
	}
}
