// Package keepalive has the TCP keep-alive settings of connections whose silent end
// must be found soon: those to the platform's store and to other instances.
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

// Config returns settings that find a connection which went silent within about
// three seconds, the time after which the platform counts a machine that reaches
// the store as in contact with it.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}
}
