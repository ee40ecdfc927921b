// Command standin runs stand-ins for the systems around gypsumhook, each as a separate
// process, and a demo that sends calls through the daemons and checks their guarantees.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/stubs"
)

// Timeouts of the stand-ins' HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// exitPoisoned is the exit code of a stand-in that a request has crashed.
const exitPoisoned = 70

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		stop()
		os.Exit(1) //nolint:gocritic // stop has been called.
	}
}

// newCommand returns the root command.
func newCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Required: true}
	return &cli.Command{
		Name: "standin", Usage: "stand-ins for the systems around gypsumhook",
		Commands: []*cli.Command{
			{Name: "log", Usage: "append-only log", Action: runLog, Flags: []cli.Flag{
				listen,
				&cli.DurationFlag{Name: "delay", Value: 2 * time.Millisecond, Usage: "time of a call"},
				&cli.IntFlag{Name: "retention", Usage: "records kept in each stream, 0 for all"},
			}},
			{Name: "hosts", Usage: "lagging host list", Action: runHostList, Flags: []cli.Flag{
				listen,
				&cli.StringFlag{Name: "file", Usage: "first list, as JSON", Required: true},
				&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "how late changes show"},
			}},
			{Name: "store", Usage: "weight store", Action: runWeightStore, Flags: []cli.Flag{listen}},
			{Name: "engine", Usage: "model engine", Action: runEngine, Flags: []cli.Flag{
				listen,
				&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at once"},
				&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond, Usage: "time of one token"},
				&cli.DurationFlag{Name: "swap-time", Value: 300 * time.Millisecond, Usage: "time of a change of weights"},
				&cli.BoolFlag{Name: "ignore-fence", Usage: "accept orders with old fencing numbers"},
				&cli.StringFlag{Name: "poison", Usage: "part of a prompt that crashes the engine"},
				&cli.IntFlag{Name: "straggle", Usage: "one answer in so many is ten times slower"},
			}},
			{Name: "plain", Usage: "plain service; POST / may not be repeated, POST /score scores samples", Action: runPlainService, Flags: []cli.Flag{
				listen,
				&cli.DurationFlag{Name: "time", Value: 5 * time.Millisecond, Usage: "time of a request"},
				&cli.StringFlag{Name: "poison", Usage: "part of a body that crashes the replica"},
			}},
			trainerCommand(),
			demoCommand(),
		},
	}
}

// serveHTTP serves HTTP requests until ctx is done, then shuts the server down gracefully.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("open listener: %w", err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve HTTP: %w", err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return fmt.Errorf("shut down HTTP server: %w", err)
	}
	return nil
}

// runLog serves the append-only log.
func runLog(ctx context.Context, command *cli.Command) error {
	log := fake.NewLog()
	log.Latency, log.Retention = command.Duration("delay"), command.Int("retention")
	return serveHTTP(ctx, command.String("listen"), stubs.LogHandler(log))
}

func runHostList(ctx context.Context, command *cli.Command) error {
	content, err := os.ReadFile(command.String("file"))
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	var hosts []gypsum.Host
	if err := json.Unmarshal(content, &hosts); err != nil {
		return fmt.Errorf("decode host list: %w", err)
	}
	list := &fake.HostList{Lag: command.Duration("lag")}
	list.SetHostsWithoutLag(hosts)
	return serveHTTP(ctx, command.String("listen"), stubs.HostListHandler(list))
}

func runWeightStore(ctx context.Context, command *cli.Command) error {
	return serveHTTP(ctx, command.String("listen"), stubs.WeightStoreHandler(fake.NewWeightStore()))
}

// runEngine serves a model engine. A prompt with the text of the poison flag ends the
// process.
func runEngine(ctx context.Context, command *cli.Command) error {
	engine := fake.NewEngine(command.Int("slots"), command.Duration("token-time"))
	engine.LoadTime, engine.IgnoreFencing = command.Duration("swap-time"), command.Bool("ignore-fence")
	engine.PoisonText, engine.StragglerEvery = command.String("poison"), command.Int("straggle")
	engine.OnCrash = func() { os.Exit(exitPoisoned) }
	return serveHTTP(ctx, command.String("listen"), stubs.EngineHandler(engine))
}

// runPlainService serves a replica of a plain service. A body with the text of the poison flag
// ends the process.
func runPlainService(ctx context.Context, command *cli.Command) error {
	plain := fake.NewPlainService(fake.NewExecutionCounter(), command.Duration("time"))
	plain.PoisonText = command.String("poison")
	plain.OnCrash = func() { os.Exit(exitPoisoned) }
	return serveHTTP(ctx, command.String("listen"), stubs.PlainServiceHandler(plain))
}
