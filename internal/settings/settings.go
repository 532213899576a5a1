// Package settings defines the static settings of an instance. They are read once
// at startup; configuration that can change at run time is in the tables of
// pkg/table.
package settings

import (
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings holds the settings of one instance. Durations ("250ms") and sizes
// ("64KiB") are strings with a unit.
type Settings struct {
	// Instance is the name of the instance, unique in the deployment. It appears in status, logs and the
	// platform's list. Required.
	Instance string `json:"instance"`
	// Region is the region that the instance runs in. A route with home regions is served only by instances
	// in those regions. Required.
	Region string `json:"region"`
	// FailureDomain is the failure domain that the instance runs in. Replicas and roles are distributed
	// across failure domains. Required.
	FailureDomain string `json:"failure_domain"`
	// Callers is the listener for callers' requests. Required.
	Callers Listener `json:"callers"`
	// Peers is the listener for other instances. Required.
	Peers Listener `json:"peers"`
	// Admin is the listener for operators and monitoring.
	Admin Admin `json:"admin,omitzero"`
	// Store configures access to the platform's key-value store. Required unless platform is set.
	Store Store `json:"store"`
	// Regions lists all regions of the deployment; it must be the same on all instances. The
	// records of requests without home regions are distributed over these regions, so instances
	// with different lists would look for a record in different regions. Required.
	Regions []string `json:"regions"`
	// QuarantineKey is the hash key of the request fingerprints that instances exchange when
	// an upstream is lost while running requests: at least 16 characters, the same on all
	// instances. Set it if third parties could guess the contents of requests. Default: a fixed key.
	QuarantineKey string `json:"quarantine_key,omitempty"`
	// Limits sets limits on callers' requests and connections.
	Limits Limits `json:"limits,omitzero"`
	// Shutdown configures the graceful shutdown.
	Shutdown Shutdown `json:"shutdown,omitzero"`
	// Log configures logging. Logs are JSON lines on standard error, or on standard output if platform is set.
	Log Log `json:"log,omitzero"`
	// Hedging limits the second copies of slow requests. Applies only if platform is set. Default: second copies
	// are sent after 0.55 of the route's target and limited by the retry budget only.
	Hedging *Hedging `json:"hedging,omitempty"`
	// Platform runs the instance on the users' platform: the tables are read from the platform's metadata
	// store, the store setting is ignored, and without peers the instance reads that metadata store itself.
	// Default: none.
	Platform *Platform `json:"platform,omitempty"`
}

// Hedging limits second copies, which are sent for idempotent requests without a body that take longer than usual. The
// most specific limit applies: that of the route, then that of the pool, then percent.
type Hedging struct {
	// Percent limits second copies to this percentage of the requests, in steps of 0.1; 0 turns them off. Default 0.
	Percent float64 `json:"percent"`
	// Pools replaces percent for the requests of the named pools. Default: none.
	Pools map[string]float64 `json:"pools,omitempty"`
	// Routes replaces percent for the requests of the named routes. Default: none.
	Routes map[string]float64 `json:"routes,omitempty"`
	// Reserve is the number of second copies that all instances together may carry over from calmer times, for each
	// limit. An instance carries over at least 1. Default 50.
	Reserve int `json:"reserve,omitempty"`
}

// Platform configures access to the users' platform.
type Platform struct {
	// Store is the address of the platform's metadata store, as IP:port. Required.
	Store string `json:"store"`
	// Domains maps each failure domain to its region. Required.
	Domains map[string]string `json:"domains"`
	// Bounds lists numeric limits set by the platform's rules, each as name=value. Unknown names are ignored.
	// Default: none.
	Bounds []string `json:"bounds,omitempty"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s. Instances with slow links read the
	// metadata store on behalf of others only if no other instance does. Default 0: unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Listener is a TCP listener with its TLS settings.
type Listener struct {
	// Listen is the address to listen on, as IP:port. Required.
	Listen string `json:"listen"`
	// Advertise is the address, as IP:port, at which others reach the listener. Default: listen.
	Advertise string `json:"advertise,omitempty"`
	// TLS names the certificate files; they are reloaded when they change. Required unless plaintext is true.
	TLS *TLS `json:"tls,omitempty"`
	// Plaintext must be true for a listener without TLS, so that encryption is never omitted by accident.
	// Default false.
	Plaintext bool `json:"plaintext,omitempty"`
	// Seeds are addresses of peers, as IP:port, that the instance dials while the platform's list or store
	// cannot be read. Applies to peers only. Default: none.
	Seeds []string `json:"seeds,omitempty"`
}

// TLS names the certificate files, in PEM format.
type TLS struct {
	// Certificate is the path of the certificate chain file. Required.
	Certificate string `json:"certificate"`
	// Key is the path of the private key file. Required.
	Key string `json:"key"`
	// CA is the path of the file with the certificate authorities that must have issued the certificate of
	// the remote side. Required for peers; for callers it enables client certificates. Default: none.
	CA string `json:"ca,omitempty"`
}

// Admin configures the operators' listener.
type Admin struct {
	// Listen is the address to listen on, as IP:port. It serves /livez, /readyz, /metrics, /status, /schema and
	// /where without authentication, so do not expose it to callers' networks. Default 127.0.0.1:9901.
	Listen string `json:"listen,omitempty"`
	// Advertise is the address, as IP:port, at which operators' commands reach the listener; it is
	// published in the platform's list. Default: listen.
	Advertise string `json:"advertise,omitempty"`
	// Pprof enables profiling endpoints under /debug/pprof. Default false.
	Pprof bool `json:"pprof,omitempty"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	// Address is the base URL of the store's HTTP API, such as http://10.0.0.1:8500. Required.
	Address string `json:"address"`
	// Timeout is the timeout of each call other than a watch. After a write has timed out, the value is read
	// back to determine whether the write took effect. Default 2s.
	Timeout table.Duration `json:"timeout,omitempty"`
}

// Limits sets limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes is the maximum size of a request header, with a unit. Larger ones get status 431. Default 64KiB.
	HeaderBytes table.Size `json:"header_bytes,omitempty"`
	// BodyBytes is the maximum size of a request body, with a unit, for routes without max_body. Larger ones
	// get status 413. Default 4GiB.
	BodyBytes table.Size `json:"body_bytes,omitempty"`
	// HeaderTimeout is the maximum time to receive a request header; slower connections are closed. Default 5s.
	HeaderTimeout table.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is the time after which a caller's idle connection is closed. Default 2m.
	IdleTimeout table.Duration `json:"idle_timeout,omitempty"`
	// RecordBytes is the maximum memory for at-most-once records, with a unit. When it is exhausted, new
	// requests with an identity are refused; no record is evicted within its window. Default 256MiB.
	RecordBytes table.Size `json:"record_bytes,omitempty"`
	// MaxInstances is the maximum number of instances of the deployment. Each instance may use 1/max_instances
	// of an upstream's connections without coordinating with others. Default 32.
	MaxInstances int `json:"max_instances,omitempty"`
	// Memory is the memory of the machine that the instance may use, with a unit. An eighth of it bounds what the
	// header sections, kept bodies and buffered answers of all callers take together; beyond it, requests are
	// refused with status 503 and unfinished header sections are closed. If set, a quarter is the soft limit of the
	// garbage collector, half on the platform, and more where records need it. Default: the memory of the system or of its control group.
	Memory table.Size `json:"memory,omitempty"`
	// Descriptors is the number of descriptors that the instance may open. Half of it, less a reserve of 200 or a
	// quarter, bounds the connections of callers; beyond it, the oldest connection without a request is closed.
	// Default: the limit of the process.
	Descriptors int `json:"descriptors,omitempty"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// Notice is how long the instance reports itself as leaving before it stops accepting connections. It must
	// be longer than the platform's balancer takes to detect this. Default 2s.
	Notice table.Duration `json:"notice,omitempty"`
	// Grace is the maximum duration of the shutdown; requests still running then are aborted. Default 0s: waits for all requests.
	Grace table.Duration `json:"grace,omitempty"`
}

// Log configures logging.
type Log struct {
	// Requests enables one log line per request. Default false.
	Requests bool `json:"requests,omitempty"`
	// Debug enables log lines with details of control decisions. Default false.
	Debug bool `json:"debug,omitempty"`
}

// Load reads a settings file, sets defaults and validates the result.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.NotFound, err, "the settings file cannot be read", "name a readable JSON file")
	}
	return Parse(data)
}

// Parse decodes settings, sets defaults and validates the result.
func Parse(data []byte) (Settings, error) {
	var s Settings
	p, err := table.Decode(data, &s)
	if err != nil {
		return s, err
	}
	s.setDefaults()
	return s, p.Merge(s.Validate()).Err()
}

// defaultQuarantineKey makes fingerprints equal on all instances if no key is set.
const defaultQuarantineKey = "turmericsail fingerprints"

// minQuarantineKey is the minimum length of the key in bytes.
const minQuarantineKey = 16

const (
	// minMemory is the least limits.memory in bytes; the program itself needs about half of it.
	minMemory = 32 << 20
	// minDescriptors is the least limits.descriptors; an idle instance holds about 20.
	minDescriptors = 64
)

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
	if s.Hedging != nil {
		setDefault(&s.Hedging.Reserve, 50)
	}
	setDefault(&s.Callers.Advertise, s.Callers.Listen)
	setDefault(&s.Peers.Advertise, s.Peers.Listen)
}

// Validate returns all problems of the settings.
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
	checkAddresses(&p, "$.admin", s.Admin.Listen, s.Admin.Advertise)
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
	if s.Hedging != nil {
		s.Hedging.validate(&p)
	}
	return p
}

func (h *Hedging) validate(p *table.Problems) {
	check := func(path string, percent float64) {
		if percent < 0 || percent > 100 {
			p.Add(path, "is no percentage", "give a number from 0 to 100")
		}
	}
	check("$.hedging.percent", h.Percent)
	for _, list := range []struct {
		path   string
		limits map[string]float64
	}{{"$.hedging.pools", h.Pools}, {"$.hedging.routes", h.Routes}} {
		for _, name := range slices.Sorted(maps.Keys(list.limits)) {
			check(list.path+"."+name, list.limits[name])
		}
	}
	if h.Reserve < 0 {
		p.Add("$.hedging.reserve", "is negative", "give a number of requests, or leave it out")
	}
}

func (f *Platform) validate(p *table.Problems, s *Settings) {
	checkAddress(p, "$.platform.store", f.Store)
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
	if s.Limits.Memory != 0 && s.Limits.Memory < minMemory {
		p.Add("$.limits.memory", "is less than 32MiB", "give the memory of the machine, or leave it out")
	}
	if s.Limits.Descriptors != 0 && s.Limits.Descriptors < minDescriptors {
		p.Add("$.limits.descriptors", "is less than 64", "give the descriptors that the process may open, or leave it out")
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
	checkAddresses(p, path, l.Listen, l.Advertise)
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

// checkAddresses checks both addresses of a listener. If advertise equals listen,
// for example by default, its problem is reported only once.
func checkAddresses(p *table.Problems, path, listen, advertise string) {
	checkAddress(p, path+".listen", listen)
	if advertise != listen {
		checkAddress(p, path+".advertise", advertise)
	}
}

func checkAddress(p *table.Problems, path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		p.Add(path, fmt.Sprintf("%q is not host:port", value), `write it as "10.0.0.1:8080"`)
	}
}
