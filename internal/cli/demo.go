package cli

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/daemon"
	"github.com/turmericsail/turmericsail/internal/demo"
	"github.com/turmericsail/turmericsail/internal/logging"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
)

func newDemo() *cobra.Command {
	var length time.Duration
	var rate float64
	var verbose bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a small deployment under load in this process", Args: cobra.NoArgs,
		Long: `Run a store stand-in, six upstream stand-ins in two failure domains and three entries in this
process, on loopback with free ports, under real load. One failure domain is taken out of service
and brought back, repeatedly. Each line of the table shows the answers of each failure domain since
the previous line. It runs until interrupted or for the time given by --for. Exit code 1 means that a request failed,
was refused or got a wrong answer.`,
		Example: "  turmericsail demo\n  turmericsail demo --for 5s --rate 500",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length < 0 || rate <= 0 {
				return fault.New(fault.Invalid, "the time is negative or the rate not above zero", "correct --for or --rate")
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			var logs io.Writer = io.Discard
			if verbose {
				logs = cmd.ErrOrStderr()
			}
			s, err := demo.Run(ctx, demo.Config{Out: cmd.OutOrStdout(), Duration: length, Rate: rate, NewInstance: func(cfg settings.Settings) (*kernel.Kernel, error) {
				return daemon.New(cfg, logging.New(logs, false).WithValues("instance", cfg.Instance))
			}})
			if err != nil {
				return err
			}
			demo.Summarize(cmd.OutOrStdout(), s)
			return unsuccessfulError(&s)
		},
	}
	cmd.Flags().DurationVar(&length, "for", 0, "time to run; 0: until interrupted")
	cmd.Flags().Float64Var(&rate, "rate", 300, "requests per second over all entries")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "write the instances' logs to standard error")
	return cmd
}
