package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform's store or for an upstream"}
	cmd.AddCommand(newStandinStore(), newStandinUpstream())
	return cmd
}

func newStandinStore() *cobra.Command {
	var listen, data string
	var faults standin.StoreFaults
	var minTTL time.Duration
	cmd := &cobra.Command{
		Use: "store", Short: "Run a key-value store stand-in", Args: cobra.NoArgs,
		Long: `Run a stand-in for the platform's store, with the Consul HTTP endpoints for KV, sessions and
services. It keeps its rows in memory, and in a file with --data.

Faults can be set at the start by flags and at any time at the control endpoint /standin/faults:
GET answers {"faults": {...}, "counts": {"reads", "writes", "watches"}}, where a waiting watch is
one call; PUT replaces the faults, with the fields down (true: every call gets status 503),
delay_ms, lose_answers (number of coming writes that take effect without an answer) and
list_lag_ms. Fields that are left out are reset.`,
		Example: "  turmericsail standin store --data store.json\n" +
			"  curl -X PUT -d '{\"lose_answers\": 1}' http://127.0.0.1:8500/standin/faults",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := standin.NewStore()
			s.SetFaults(faults)
			s.SetSessionTTLMin(minTTL)
			if data == "" {
				return listenAndServe(cmd.Context(), listen, &http.Server{Handler: s})
			}
			if err := s.Restore(data); err != nil {
				return fault.Wrap(fault.Invalid, err, "the data file cannot be used", "remove it or name another file")
			}
			return errors.Join(listenAndServe(cmd.Context(), listen, &http.Server{Handler: s}), s.Save(data))
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8500", "address to listen on")
	f.StringVar(&data, "data", "", "file that preserves the rows across restarts; written when the store stops")
	f.DurationVar(&minTTL, "session-ttl-min", 0, "shortest time to live of sessions that is accepted")
	f.BoolVar(&faults.Down, "down", false, "answer every call with 503")
	f.IntVar(&faults.DelayMS, "delay-ms", 0, "delay of every call, in milliseconds")
	f.IntVar(&faults.LoseAnswers, "lose-answers", 0, "number of writes that take effect without an answer")
	f.IntVar(&faults.ListLagMS, "list-lag-ms", 0, "lag of the instance list, in milliseconds")
	return cmd
}

func newStandinUpstream() *cobra.Command {
	var listen string
	var cfg standin.UpstreamConfig
	var listed upstreamRegistration
	var faults standin.UpstreamFaults
	cmd := &cobra.Command{
		Use: "upstream", Short: "Run an upstream stand-in", Args: cobra.NoArgs,
		Example: "  turmericsail standin upstream --id u1 --slots 4 --service 5ms\n" +
			"  turmericsail standin upstream --id u2 --listen 127.0.0.1:8601 --discover roster --region north --failure-domain n1",
		RunE: func(cmd *cobra.Command, _ []string) error {
			leave, err := listed.register(cmd.Context(), cfg.ID, listen)
			if err != nil {
				return err
			}
			defer leave()
			u := standin.NewUpstream(cfg)
			u.SetFaults(faults)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return u.Serve(ctx, listen)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8600", "address to listen on")
	cmd.Flags().StringVar(&cfg.ID, "id", "upstream-1", "ID that the upstream reports")
	cmd.Flags().IntVar(&cfg.Slots, "slots", 4, "concurrent requests that the upstream runs")
	cmd.Flags().DurationVar(&cfg.ServiceTime, "service", 5*time.Millisecond, "time that a request takes")
	listed.add(cmd)
	cmd.Flags().IntVar(&cfg.ConnectionLimit, "connections", 250, "connection limit; connections above it are counted as violations")
	cmd.Flags().DurationVar(&cfg.ConnectionCost, "connection-cost", time.Millisecond, "additional time of the first request of a connection")
	cmd.Flags().IntVar(&cfg.ColdAllowance, "cold-allowance", 0, "concurrent requests that the upstream sustains while cold; 0 means never cold")
	cmd.Flags().IntVar(&cfg.ColdAnswers, "cold-answers", 8, "answers after which the cold allowance doubles")
	cmd.Flags().DurationVar(&cfg.RestartDelay, "restart", time.Second, "time that the upstream is unreachable after a crash")
	cmd.Flags().StringVar(&cfg.IdentityHeader, "identity-header", "Idempotency-Key", "header whose value identifies a request in the counts of runs")
	cmd.Flags().BoolVar(&faults.Drain, "drain", false, "start draining")
	cmd.Flags().BoolVar(&faults.Shed, "shed", false, "start refusing work")
	cmd.Flags().BoolVar(&faults.FailFast, "fail-fast", false, "start answering 500 at once")
	cmd.Flags().BoolVar(&faults.Misleading, "misleading", false, "always report healthy and no load, whatever the state is")
	cmd.Flags().IntVar(&faults.SlowMS, "slow-ms", 0, "additional milliseconds that each request takes")
	return cmd
}

func listenAndServe(parent context.Context, address string, server *http.Server) error {
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return standin.Serve(ctx, l, server)
}
