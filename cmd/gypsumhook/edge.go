package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum/edge"
	"github.com/gypsumhook/gypsum/logs"
	"github.com/gypsumhook/gypsum/platform"
)

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// memoryShare is the part of the host's memory that the collector keeps to, as long as
// it can: the rest is for buffers of the network and for what it does not count.
const memoryShare = 0.65

// edgeCommand returns the command that runs a daemon on the users' platform.
func edgeCommand() *cli.Command {
	return &cli.Command{
		Name: "edge", Usage: "run a daemon on the users' platform", Action: runEdge,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true,
		}},
	}
}

// runEdge runs a daemon on the users' platform.
func runEdge(ctx context.Context, command *cli.Command) error {
	path := command.String("settings")
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	}
	logger, writer := logs.New(os.Stdout, slog.LevelInfo)
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 2)
	go func() { ended <- writer.Run(ctx) }()
	go func() { ended <- watchSettings(ctx, path, settings, logger) }()
	run := &edge.Host{Settings: settings, Logger: logger, Dropped: writer.Dropped}
	err = run.Run(ctx)
	stop()
	for range cap(ended) {
		<-ended
	}
	return err
}

// watchSettings reads the settings again on SIGHUP and when the file has changed.
// Addresses and limits hold until the next start; a file that cannot be used is
// named in the log.
func watchSettings(ctx context.Context, path string, settings *platform.Settings, logger *slog.Logger) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	// A file that cannot be read now counts as changed at the next look, which says so.
	known, _ := os.ReadFile(path)
	for {
		why := "changed"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			why = "signal"
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && why == "changed" && string(content) == string(known) {
			continue
		}
		known = content
		fresh, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded", "why", why, "error", err)
			continue
		}
		logger.Info("settings reloaded", "why", why, "differs", fmt.Sprint(*fresh) != fmt.Sprint(*settings))
	}
}
