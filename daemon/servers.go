package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"

	"github.com/gypsumhook/gypsum"
)

// Servers are the servers of a daemon process. Set the exported fields before Run.
type Servers struct {
	Host    gypsum.HostID
	Servers []transport.Server
	// Leave is called once before the servers stop, which serve until it returns.
	Leave func(context.Context) error
	// StopTimeout bounds the time in which requests in flight end after that.
	StopTimeout time.Duration
	Logger      *slog.Logger
}

// Run runs the servers until ctx is done or the process receives SIGTERM or SIGINT, and then until
// the requests in flight have ended. Neither ctx nor the signal cancels them.
//
// The signals are seen here only once the servers run. ctx must end at those that come before.
func (s *Servers) Run(ctx context.Context) error {
	var once sync.Once
	// A signal stops the servers twice if it also ends ctx.
	leave := func(ctx context.Context) (err error) {
		once.Do(func() { err = s.Leave(ctx) })
		return err
	}
	app := kratos.New(
		kratos.Name("gypsumhook"), kratos.ID(string(s.Host)), kratos.Context(context.WithoutCancel(ctx)),
		kratos.Logger(NewKratosLogger(s.Logger)), kratos.Server(s.Servers...), kratos.StopTimeout(s.StopTimeout), kratos.BeforeStop(leave),
	)
	stopOnDone := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stopOnDone()
	if err := app.Run(); err != nil {
		return fmt.Errorf("run servers: %w", err)
	}
	return nil
}
