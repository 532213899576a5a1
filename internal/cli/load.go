package cli

import (
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/load"
	"github.com/turmericsail/turmericsail/pkg/fault"
)

type loadCommand struct {
	cfg      load.Config
	arrivals string
	protocol string
	headers  []string
	body     string
	output   outputFlag
}

func newLoad() *cobra.Command {
	c := loadCommand{}
	cmd := &cobra.Command{
		Use: "load URL...", Short: "Send open-loop load and check the answers", Args: cobra.MinimumNArgs(1),
		Long: `Send requests at a given rate, whether or not earlier ones were answered, and print the latencies
counted from the time at which each request was due, refusals by outcome and kind, failures, and
wrong answers. Each request carries its own X-Request-Id; an answer that echoes another one is
wrong. Several URLs are used in turn. Exit code 1 means that not every request succeeded.`,
		Example: "  turmericsail load http://127.0.0.1:8080 --path /roster/7 --rate 200 --for 10s\n" +
			"  turmericsail load http://127.0.0.1:8080 --method POST --identity-header Idempotency-Key --repeats 1 --arrivals poisson --for 5s -o json",
		RunE: func(cmd *cobra.Command, args []string) error {
			c.cfg.Targets = args
			return c.run(cmd)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.cfg.Path, "path", "/", "path and query of the requests")
	f.StringVar(&c.cfg.Method, "method", http.MethodGet, "HTTP method")
	f.Float64Var(&c.cfg.Rate, "rate", 100, "requests per second")
	f.DurationVar(&c.cfg.Duration, "for", 10*time.Second, "time over which requests are started; 0: until interrupted")
	f.IntVar(&c.cfg.Requests, "requests", 0, "largest number of requests, repeats not counted; 0: no bound")
	f.DurationVar(&c.cfg.Timeout, "timeout", 30*time.Second, "time-out of each request")
	f.StringVar(&c.cfg.IdentityHeader, "identity-header", "", "header that carries a unique identity for each request")
	f.IntVar(&c.cfg.Repeats, "repeats", 0, "further requests with the same identity")
	f.Uint64Var(&c.cfg.Seed, "seed", 0, "seed of arrivals and identities; 0: random")
	f.IntVar(&c.cfg.MaxInFlight, "max-in-flight", 0, "requests in flight above which requests are dropped (default 10000)")
	f.StringVar(&c.arrivals, "arrivals", "constant", "constant or poisson")
	f.StringVar(&c.protocol, "protocol", "http1", "http1 or h2")
	f.StringArrayVar(&c.headers, "header", nil, `header of each request as "Name: value"; repeatable`)
	f.StringVar(&c.body, "body", "", "body of each request; @FILE reads it from a file")
	c.output.add(cmd)
	return cmd
}

func (c *loadCommand) run(cmd *cobra.Command) error {
	if err := c.prepare(cmd.InOrStdin()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	recorder := load.NewRecorder()
	if err := load.Run(ctx, c.cfg, recorder); err != nil {
		return err
	}
	s := recorder.Summary()
	if err := c.output.print(cmd.OutOrStdout(), s, s.Write); err != nil {
		return err
	}
	return unsuccessfulError(&s)
}

// unsuccessfulError returns an error if requests were refused, dropped, failed or got wrong answers.
func unsuccessfulError(s *load.Summary) error {
	if bad := s.Unsuccessful(); bad > 0 {
		return fault.Newf(fault.Refused, "see the counts by kind", "%d requests did not succeed", bad)
	}
	return nil
}

func (c *loadCommand) prepare(stdin io.Reader) error {
	if err := c.output.check(); err != nil {
		return err
	}
	if c.arrivals != "constant" && c.arrivals != "poisson" {
		return fault.Newf(fault.Invalid, "use constant or poisson", "arrivals %q are unknown", c.arrivals)
	}
	if c.protocol != "http1" && c.protocol != "h2" {
		return fault.Newf(fault.Invalid, "use http1 or h2", "protocol %q is unknown", c.protocol)
	}
	c.cfg.Poisson, c.cfg.HTTP2 = c.arrivals == "poisson", c.protocol == "h2"
	c.cfg.Header = http.Header{}
	for _, h := range c.headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return fault.Newf(fault.Invalid, `write it as "Name: value"`, "header %q has no colon", h)
		}
		c.cfg.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	c.cfg.Body = []byte(c.body)
	if path, ok := strings.CutPrefix(c.body, "@"); ok {
		var err error
		if c.cfg.Body, err = readInput(path, stdin); err != nil {
			return err
		}
	}
	return nil
}
