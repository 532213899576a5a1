// Package keepalive defines the TCP keep-alive settings of connections on which an
// unreachable peer must be detected quickly: those to the platform's store and to
// other instances.
package keepalive

import (
	"net"
	"time"
)

const (
	idle     = time.Second
	interval = time.Second
	probes   = 2
)

// Config returns settings that detect an unreachable peer within about three seconds
// (idle + probes * interval). The platform uses the same time before it considers a
// machine that reaches the store to be in contact with it.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}
}
