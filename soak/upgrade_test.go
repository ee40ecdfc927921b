package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/gypsumhook/gypsum/check"
)

// upgradePause is the time between the replacements of two daemons.
const upgradePause = 1200 * time.Millisecond

// buildProduction builds the daemon of the commit in production, from which an upgrade starts.
func buildProduction(t *testing.T) string {
	var deployment struct {
		Production string `toml:"production"`
	}
	if _, err := toml.DecodeFile("../deploy/system.toml", &deployment); err != nil {
		t.Fatal(err)
	}
	binary, cleanup, err := check.BuildDaemonAt(deployment.Production)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return binary
}

// replace stops a daemon as a planned stop does and starts it again with the executable at a path.
func (env *testEnv) replace(daemon *daemonProcess, binary string) {
	daemon.signal(syscall.SIGTERM)
	daemon.wait()
	daemon.binary = binary
	env.startDaemon(daemon)
	env.waitReady(daemon)
	time.Sleep(upgradePause)
}

// TestUpgradeFromProduction guards against daemons of the build in production and of the current
// build that do not understand each other's records and messages: they are replaced one after the
// other, the first one is rolled back in between, and every build holds the engines for a time.
func TestUpgradeFromProduction(t *testing.T) {
	earlier := buildProduction(t)
	env := startTestEnv(&testEnv{t: t, binary: earlier}, 3)
	load := newWorkload(env)
	stop := load.start(t.Context(), *firstSeed)
	time.Sleep(upgradePause)
	env.replace(env.daemons[0], daemonBinary)
	env.replace(env.daemons[1], daemonBinary)
	env.replace(env.daemons[0], earlier)
	env.replace(env.daemons[2], daemonBinary)
	env.replace(env.daemons[0], daemonBinary)
	stop()
	checkOutcomes(env, load)
	if len(load.batches) < 3 {
		t.Errorf("only %d batches were submitted during the upgrade", len(load.batches))
	}
	t.Logf("calls %d, served %d; batches %d", load.calls, load.served, len(load.batches))
}
