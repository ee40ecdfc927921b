// Package setup reads and checks a daemon's settings file.
package setup

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/core"
)

// ErrSettings is a settings file that cannot be used.
var ErrSettings = errors.New("bad settings")

// Settings are a daemon's settings.
type Settings struct {
	Host       gypsum.HostID
	Location   gypsum.Location
	HomeRegion gypsum.Region

	Callers   string
	Peers     string
	Operators string
	// Advertised is the address that peers use.
	Advertised string

	LogURL     string
	HostsURL   string
	WeightsURL string

	MaxBody       gypsum.Bytes
	MaxHeader     gypsum.Bytes
	DrainWait     time.Duration
	DrainTimeout  time.Duration
	LogLevel      slog.Level
	LiveBudget    gypsum.Bytes
	TrainerBudget gypsum.Bytes
	Tuning        core.Tuning
}

// Setting describes one key of the settings file.
type Setting struct {
	Section string
	Key     string
	// Default is empty for a required key.
	Default string
	Unit    string
	Allowed string
	Doc     string

	set func(value string) error
}

// Defaults returns settings with nothing but the default times and limits.
func Defaults() *Settings {
	return &Settings{Tuning: core.DefaultTuning()}
}

// List returns the descriptions of all settings, bound to s.
func (s *Settings) List() []Setting {
	t := &s.Tuning
	return []Setting{
		text("host", "id", &s.Host, "unique name of this host"),
		text("host", "data_centre", &s.Location.DataCentre, "data centre of this host"),
		text("host", "region", &s.Location.Region, "region of this host"),
		text("host", "home_region", &s.HomeRegion, "region of the platform's log"),
		address("listen", "callers", &s.Callers, "address for callers, trainers and health checks"),
		address("listen", "peers", &s.Peers, "address for other daemons"),
		address("listen", "operators", &s.Operators, "address for operators and metrics"),
		address("listen", "advertised", &s.Advertised, "address under which other daemons reach this one"),
		link("platform", "log", &s.LogURL, "base URL of the log service"),
		link("platform", "hosts", &s.HostsURL, "base URL of the host list"),
		link("platform", "weights", &s.WeightsURL, "base URL of the weight store"),
		number("limits", "max_body", &s.MaxBody, 8<<20, 1, 1<<30, "bytes", "largest body of a request"),
		number("limits", "max_header", &s.MaxHeader, 64<<10, 1<<10, 1<<20, "bytes", "largest header of a request"),
		number("limits", "max_attempts", &t.MaxAttempts, t.MaxAttempts, 1, 100, "attempts", "attempts at one call"),
		number("limits", "shards", &t.KeyShards, t.KeyShards, 1, 4096, "shards", "shards of idempotency keys; the same on all hosts, and never changed"),
		number("limits", "snapshot_every", &t.SnapshotRecords, t.SnapshotRecords, 10, 1<<20, "records", "records of a stream after which a snapshot is written"),
		number("limits", "live_link_bytes", &s.LiveBudget, 0, 0, 1<<40, "bytes a second", "live calls' budget between regions, 0 for none"),
		number("limits", "trainer_link_bytes", &s.TrainerBudget, 0, 0, 1<<40, "bytes a second", "trainers' budget between regions, 0 for none"),
		duration("times", "drain_wait", &s.DrainWait, 3*time.Second, 0, time.Minute, "wait for the balancer between not ready and the end of listening"),
		duration("times", "drain_timeout", &s.DrainTimeout, time.Minute, time.Second, time.Hour, "longest wait for requests in flight at a stop"),
		duration("times", "gossip_interval", &t.GossipInterval, t.GossipInterval, 50*time.Millisecond, 10*time.Second, "time between two exchanges of news"),
		duration("times", "suspect_after", &t.SuspectAfter, t.SuspectAfter, 200*time.Millisecond, time.Minute, "silence after which a host gets no new work"),
		duration("times", "gone_after", &t.FailedAfter, t.FailedAfter, time.Second, time.Hour, "silence after which a host is forgotten"),
		duration("times", "list_interval", &t.HostListInterval, t.HostListInterval, 100*time.Millisecond, time.Minute, "time between two reads of the host list"),
		duration("times", "poll_interval", &t.LoadPollInterval, t.LoadPollInterval, 50*time.Millisecond, time.Minute, "time between two load reports of a backend server"),
		duration("times", "accept_timeout", &t.AcceptTimeout, t.AcceptTimeout, 50*time.Millisecond, time.Minute, "wait for another host to take over a call"),
		duration("times", "heartbeat_timeout", &t.HeartbeatTimeout, t.HeartbeatTimeout, 100*time.Millisecond, time.Minute, "silence of another host after which its call is given up"),
		duration("times", "log_timeout", &t.LogTimeout, t.LogTimeout, 50*time.Millisecond, time.Minute, "wait for one answer of the log service"),
		duration("times", "log_poll", &t.LogPollInterval, t.LogPollInterval, 20*time.Millisecond, time.Minute, "time between two reads of the configuration"),
		duration("times", "group_interval", &t.AppendInterval, t.AppendInterval, 0, time.Second, "least time between two appends for a shard"),
		duration("times", "snapshot_interval", &t.SnapshotInterval, t.SnapshotInterval, time.Second, 24*time.Hour, "longest age of a stream's snapshot; at most a third of the log's retention"),
		duration("times", "key_window", &t.KeyWindow, t.KeyWindow, time.Minute, 7*24*time.Hour, "time for which idempotency keys are remembered; the same on all hosts"),
		duration("times", "answer_window", &t.ResponseWindow, t.ResponseWindow, time.Second, 24*time.Hour, "time for which answers to idempotency keys are kept"),
		number("weights", "loads_per_second", &t.LoadsPerSecond, t.LoadsPerSecond, 0, 1e6, "loads a second", "limit of the weight store for each data centre and service, 0 for none"),
		level("log", "level", &s.LogLevel, slog.LevelInfo, "least level that is logged"),
	}
}

// Read returns the settings of a file. Its errors name file, section, key, the
// bad value and what is allowed.
func Read(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: false}, path)
	if err != nil {
		return nil, fmt.Errorf("%s: %v: %w", path, err, ErrSettings)
	}
	settings := Defaults()
	list := settings.List()
	if err := checkUnknown(path, file, list); err != nil {
		return nil, err
	}
	for _, setting := range list {
		value := setting.Default
		if section, err := file.GetSection(setting.Section); err == nil && section.HasKey(setting.Key) {
			value = section.Key(setting.Key).String()
		}
		if err := setting.set(value); err != nil {
			return nil, fmt.Errorf("%s: [%s] %s = %q: %v; allowed: %s: %w",
				path, setting.Section, setting.Key, value, err, setting.Allowed, ErrSettings)
		}
	}
	settings.Tuning.CrossRegionBudget = map[gypsum.Class]gypsum.Bytes{
		gypsum.ClassLive: settings.LiveBudget, gypsum.ClassTrainer: settings.TrainerBudget,
	}
	return settings, nil
}

// checkUnknown refuses sections and keys that do not exist.
func checkUnknown(path string, file *ini.File, list []Setting) error {
	known := make(map[string]bool, len(list))
	for _, setting := range list {
		known[setting.Section+"/"+setting.Key] = true
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"/"+key.Name()] {
				return fmt.Errorf("%s: [%s] %s = %q: unknown key; allowed: the keys of docs/OPERATORS.md: %w",
					path, section.Name(), key.Name(), key.String(), ErrSettings)
			}
		}
	}
	return nil
}

// errRequired is a required setting without a value.
var errRequired = errors.New("a value is required")

// text returns a setting that takes any text.
func text[T ~string](section, key string, target *T, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "any text", Doc: doc, set: func(value string) error {
		if value == "" {
			return errRequired
		}
		*target = T(value)
		return nil
	}}
}

// address returns a setting that takes an address.
func address(section, key string, target *string, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "IP:PORT", Doc: doc, set: func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil {
			return err
		}
		if net.ParseIP(host) == nil {
			return errors.New("the host is no IP number")
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return errors.New("the port is no number up to 65535")
		}
		*target = value
		return nil
	}}
}

// link returns a setting that takes a URL.
func link(section, key string, target *string, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "http://HOST:PORT or https://HOST:PORT", Doc: doc, set: func(value string) error {
		parsed, err := url.Parse(value)
		if err != nil {
			return err
		}
		if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return errors.New("no URL of this form")
		}
		*target = value
		return nil
	}}
}

// number returns a setting that takes a number within bounds.
func number[T ~int | ~int64 | ~float64](section, key string, target *T, standard, least, most T, unit, doc string) Setting {
	allowed := fmt.Sprintf("%v to %v", least, most)
	return Setting{
		Section: section, Key: key, Default: fmt.Sprint(standard), Unit: unit, Allowed: allowed, Doc: doc,
		set: func(value string) error {
			parsed, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return errors.New("no number")
			}
			if parsed < float64(least) || parsed > float64(most) {
				return errors.New("out of range")
			}
			*target = T(parsed)
			return nil
		},
	}
}

// duration returns a setting that takes a time within bounds.
func duration(section, key string, target *time.Duration, standard, least, most time.Duration, doc string) Setting {
	allowed := fmt.Sprintf("%s to %s, with unit", least, most)
	return Setting{
		Section: section, Key: key, Default: standard.String(), Unit: "duration", Allowed: allowed, Doc: doc,
		set: func(value string) error {
			parsed, err := time.ParseDuration(value)
			if err != nil {
				return errors.New("no duration such as 300ms or 2s")
			}
			if parsed < least || parsed > most {
				return errors.New("out of range")
			}
			*target = parsed
			return nil
		},
	}
}

// level returns a setting that takes a log level.
func level(section, key string, target *slog.Level, standard slog.Level, doc string) Setting {
	return Setting{
		Section: section, Key: key, Default: standard.String(), Allowed: "DEBUG, INFO, WARN or ERROR", Doc: doc,
		set: func(value string) error { return target.UnmarshalText([]byte(value)) },
	}
}
