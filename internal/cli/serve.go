package cli

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/daemon"
	"github.com/turmericsail/turmericsail/internal/gateway"
	"github.com/turmericsail/turmericsail/internal/logging"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry instance",
		Long: `Run an entry instance with the given settings file until SIGTERM or an interrupt.

The first signal starts a graceful shut-down: the instance reports that it is leaving, waits
shutdown.notice, stops accepting and finishes its requests. A second signal ends it at once.
All faults of the settings are reported together, with exit code 2.`,
		Example: "  turmericsail serve --settings instance.json\n  turmericsail schema settings   # every setting with its effect",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), path, cfg)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func serve(parent context.Context, path string, cfg settings.Settings) error {
	// net/http logs unexpected bytes from upstreams on the standard logger; they may be part of a body.
	stdlog.SetOutput(io.Discard)
	tuneGC(cfg)
	k, err := newProcess(cfg)
	if err != nil {
		return err
	}
	defer k.closeLog()
	k.log.Info("start", "instance", cfg.Instance, "region", cfg.Region, "failure_domain", cfg.FailureDomain,
		"callers", cfg.Callers.Listen, "admin", cfg.Admin.Listen, "settings", path)
	if cfg.Platform != nil {
		go watchSettings(parent, path, k)
	}
	defer func() { k.log.Info("stop", "instance", cfg.Instance) }()
	return runUntilSignal(parent, k.Kernel, cfg.Shutdown.Grace.Std())
}

// process is a running instance and its logger.
type process struct {
	*kernel.Kernel
	log      logr.Logger
	closeLog func()
}

// newProcess assembles the services of an instance: a platform gateway if the settings name a platform,
// otherwise an instance that communicates with its peers.
func newProcess(cfg settings.Settings) (process, error) {
	if cfg.Platform == nil {
		log := logging.New(os.Stderr, cfg.Log.Debug)
		k, err := daemon.New(cfg, log)
		return process{k, log, func() {}}, err
	}
	out := logging.NewAsync(os.Stdout)
	log := logging.NewSampled(out)
	k, err := gateway.New(cfg, log)
	return process{k, log, out.Close}, err
}

// runUntilSignal shuts the kernel down gracefully on the first SIGTERM or interrupt, for at most grace
// if grace is set, and aborts it on the second.
func runUntilSignal(parent context.Context, k *kernel.Kernel, grace time.Duration) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	hard, abort := context.WithCancel(context.WithoutCancel(parent))
	defer abort()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		cancel()
		if grace > 0 {
			time.AfterFunc(grace, abort)
		}
		<-signals
		abort()
	}()
	return k.Run(ctx, hard)
}
