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
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/logs"
	"github.com/gypsumhook/gypsum/platform"
)

// settingsPollInterval is how often the settings file is checked for changes, as it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

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
	// Without a handler SIGHUP ends the process, so this comes before the settings are read.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := command.String("settings")
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * intake.RuntimeMemoryShare))
	}
	logger, writer := logs.New(os.Stdout, slog.LevelInfo)
	// Logging goes on while the daemon shuts down after a signal, which ends ctx.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 2)
	go func() { done <- writer.Run(taskCtx) }()
	go func() { done <- watchSettings(taskCtx, hangups, path, settings, logger) }()
	d := &edge.Daemon{Settings: settings, Logger: logger, DroppedLines: writer.DroppedLines}
	err = d.Run(ctx)
	stop()
	for range cap(done) {
		<-done
	}
	return err
}

// watchSettings reads the settings file again on each of hangups and when it has changed, until ctx
// is done. It only logs whether the file is valid and differs from the settings in use:
// addresses and limits take effect at the next start.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, settings *platform.Settings, logger *slog.Logger) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	// If the file cannot be read now, the next check sees a change and logs the error.
	lastContent, _ := os.ReadFile(path)
	for {
		trigger := "changed"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			trigger = "signal"
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && trigger == "changed" && string(content) == string(lastContent) {
			continue
		}
		lastContent = content
		reloaded, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded", "why", trigger, "error", err)
			continue
		}
		logger.Info("settings reloaded", "why", trigger, "differs", fmt.Sprint(*reloaded) != fmt.Sprint(*settings))
	}
}
