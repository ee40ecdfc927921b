// Package setup reads and validates a daemon's settings file.
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

// ErrSettings is returned for a settings file that cannot be read or is invalid.
var ErrSettings = errors.New("invalid settings")

// Settings are a daemon's settings. Descriptions describes each of them.
type Settings struct {
	Host       gypsum.HostID
	Location   gypsum.Location
	HomeRegion gypsum.Region

	CallerAddr   string
	PeerAddr     string
	OperatorAddr string
	// AdvertisedAddr is the address under which peers reach this daemon.
	AdvertisedAddr string

	LogURL     string
	HostsURL   string
	WeightsURL string

	MaxBody   gypsum.Bytes
	MaxHeader gypsum.Bytes
	// Memory and Descriptors are those of the host that the daemon may use, 0 for all.
	Memory      gypsum.Bytes
	Descriptors int
	// DrainWait is how long the servers keep running after the daemon has become not ready,
	// so that the load balancer notices.
	DrainWait time.Duration
	// DrainTimeout limits the wait for requests in flight during a graceful shutdown.
	DrainTimeout time.Duration
	LogLevel     slog.Level
	// LiveCrossRegionBudget and TrainerCrossRegionBudget are the bytes per second that the
	// calls of a class may send to other regions, 0 for no limit.
	LiveCrossRegionBudget    gypsum.Bytes
	TrainerCrossRegionBudget gypsum.Bytes
	Tuning                   core.Tuning
}

// Setting describes one key of the settings file.
type Setting struct {
	Section string
	Key     string
	// Default is the default value, empty for a required key.
	Default string
	Unit    string
	// Allowed describes the values that are accepted.
	Allowed string
	Doc     string

	// set parses a value and stores it in the Settings.
	set func(value string) error
}

// DefaultSettings returns settings with the default tuning and no other values.
func DefaultSettings() *Settings {
	return &Settings{Tuning: core.DefaultTuning()}
}

// Descriptions returns the descriptions of all settings. The values that ReadSettings
// parses with them are stored in s.
func (s *Settings) Descriptions() []Setting {
	t := &s.Tuning
	return []Setting{
		textSetting("host", "id", &s.Host, "unique name of this host"),
		textSetting("host", "data_centre", &s.Location.DataCentre, "data centre of this host"),
		textSetting("host", "region", &s.Location.Region, "region of this host"),
		textSetting("host", "home_region", &s.HomeRegion, "region of the platform's log"),
		addressSetting("listen", "callers", &s.CallerAddr, "address for callers, trainers and health checks"),
		addressSetting("listen", "peers", &s.PeerAddr, "address for other daemons"),
		addressSetting("listen", "operators", &s.OperatorAddr, "address for operators and metrics"),
		addressSetting("listen", "advertised", &s.AdvertisedAddr, "address under which other daemons reach this one"),
		urlSetting("platform", "log", &s.LogURL, "base URL of the log service"),
		urlSetting("platform", "hosts", &s.HostsURL, "base URL of the host list"),
		urlSetting("platform", "weights", &s.WeightsURL, "base URL of the weight store"),
		numberSetting("limits", "max_body", &s.MaxBody, 8<<20, 1, 1<<30, "bytes", "largest body of a request"),
		numberSetting("limits", "max_header", &s.MaxHeader, 64<<10, 1<<10, 1<<20, "bytes", "largest header of a request"),
		numberSetting("limits", "memory", &s.Memory, 0, 0, 1<<50, "bytes", "memory of the host that the daemon may use, 0 for that of the machine; clients get parts of it"),
		numberSetting("limits", "descriptors", &s.Descriptors, 0, 0, 1<<30, "descriptors", "descriptors that the daemon may open, 0 for the limit of the process; clients get half of them"),
		numberSetting("limits", "max_attempts", &t.MaxAttempts, t.MaxAttempts, 1, 100, "attempts", "attempts at one call"),
		numberSetting("limits", "shards", &t.KeyShards, t.KeyShards, 1, 4096, "shards", "shards of idempotency keys; the same on all hosts, and never changed"),
		numberSetting("limits", "snapshot_every", &t.SnapshotRecords, t.SnapshotRecords, 10, 1<<20, "records", "records of a stream after which a snapshot is written"),
		numberSetting("limits", "live_link_bytes", &s.LiveCrossRegionBudget, 0, 0, 1<<40, "bytes a second", "live calls' budget between regions, 0 for none"),
		numberSetting("limits", "trainer_link_bytes", &s.TrainerCrossRegionBudget, 0, 0, 1<<40, "bytes a second", "trainers' budget between regions, 0 for none"),
		durationSetting("times", "drain_wait", &s.DrainWait, 3*time.Second, 0, time.Minute, "wait for the balancer between not ready and the end of listening"),
		durationSetting("times", "drain_timeout", &s.DrainTimeout, time.Minute, time.Second, time.Hour, "longest wait for requests in flight at a stop"),
		durationSetting("times", "gossip_interval", &t.GossipInterval, t.GossipInterval, 50*time.Millisecond, 10*time.Second, "time between two exchanges of news"),
		durationSetting("times", "suspect_after", &t.SuspectAfter, t.SuspectAfter, 200*time.Millisecond, time.Minute, "silence after which a host gets no new work"),
		durationSetting("times", "gone_after", &t.FailedAfter, t.FailedAfter, time.Second, time.Hour, "silence after which a host is forgotten"),
		durationSetting("times", "list_interval", &t.HostListInterval, t.HostListInterval, 100*time.Millisecond, time.Minute, "time between two reads of the host list"),
		durationSetting("times", "poll_interval", &t.LoadPollInterval, t.LoadPollInterval, 50*time.Millisecond, time.Minute, "time between two load reports of a backend server"),
		durationSetting("times", "accept_timeout", &t.AcceptTimeout, t.AcceptTimeout, 50*time.Millisecond, time.Minute, "wait for another host to take over a call"),
		durationSetting("times", "heartbeat_timeout", &t.KeepAliveTimeout, t.KeepAliveTimeout, 100*time.Millisecond, time.Minute, "silence of another host after which its call is given up"),
		durationSetting("times", "log_timeout", &t.LogTimeout, t.LogTimeout, 50*time.Millisecond, time.Minute, "wait for one answer of the log service"),
		durationSetting("times", "log_poll", &t.LogPollInterval, t.LogPollInterval, 20*time.Millisecond, time.Minute, "time between two reads of the configuration"),
		durationSetting("times", "group_interval", &t.AppendInterval, t.AppendInterval, 0, time.Second, "least time between two appends for a shard"),
		durationSetting("times", "snapshot_interval", &t.SnapshotInterval, t.SnapshotInterval, time.Second, 24*time.Hour, "longest age of a stream's snapshot; at most a third of the log's retention"),
		durationSetting("times", "key_window", &t.KeyWindow, t.KeyWindow, time.Minute, 7*24*time.Hour, "time for which idempotency keys are remembered; the same on all hosts"),
		durationSetting("times", "answer_window", &t.ResponseWindow, t.ResponseWindow, time.Second, 24*time.Hour, "time for which answers to idempotency keys are kept"),
		numberSetting("weights", "loads_per_second", &t.LoadsPerSecond, t.LoadsPerSecond, 0, 1e6, "loads a second", "limit of the weight store for each data centre and service, 0 for none"),
		levelSetting("log", "level", &s.LogLevel, slog.LevelInfo, "least level that is logged"),
	}
}

// ReadSettings reads the settings file at a path. Its errors are ErrSettings. They name
// the file and, for an invalid value, its section and key, the value and what is allowed.
func ReadSettings(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: false}, path)
	if err != nil {
		return nil, fmt.Errorf("%s: %v: %w", path, err, ErrSettings)
	}
	settings := DefaultSettings()
	list := settings.Descriptions()
	if err := rejectUnknownKeys(path, file, list); err != nil {
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
		gypsum.ClassLive: settings.LiveCrossRegionBudget, gypsum.ClassTrainer: settings.TrainerCrossRegionBudget,
	}
	return settings, nil
}

// rejectUnknownKeys returns an error for the first key that does not exist in its section.
func rejectUnknownKeys(path string, file *ini.File, list []Setting) error {
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

// errValueRequired means that a required setting has no value.
var errValueRequired = errors.New("a value is required")

// textSetting returns a required setting that accepts any text.
func textSetting[T ~string](section, key string, target *T, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "any text", Doc: doc, set: func(value string) error {
		if value == "" {
			return errValueRequired
		}
		*target = T(value)
		return nil
	}}
}

// addressSetting returns a setting that accepts an IP address with a port.
func addressSetting(section, key string, target *string, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "IP:PORT", Doc: doc, set: func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil {
			return err
		}
		if net.ParseIP(host) == nil {
			return errors.New("host is not an IP address")
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return errors.New("port is not a number up to 65535")
		}
		*target = value
		return nil
	}}
}

// urlSetting returns a setting that accepts an http or https URL.
func urlSetting(section, key string, target *string, doc string) Setting {
	return Setting{Section: section, Key: key, Allowed: "http://HOST:PORT or https://HOST:PORT", Doc: doc, set: func(value string) error {
		parsed, err := url.Parse(value)
		if err != nil {
			return err
		}
		if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return errors.New("not a URL of this form")
		}
		*target = value
		return nil
	}}
}

// numberSetting returns a setting that accepts a number in a range.
func numberSetting[T ~int | ~int64 | ~float64](section, key string, target *T, defaultValue, minimum, maximum T, unit, doc string) Setting {
	allowed := fmt.Sprintf("%v to %v", minimum, maximum)
	return Setting{
		Section: section, Key: key, Default: fmt.Sprint(defaultValue), Unit: unit, Allowed: allowed, Doc: doc,
		set: func(value string) error {
			parsed, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return errors.New("not a number")
			}
			if parsed < float64(minimum) || parsed > float64(maximum) {
				return errors.New("out of range")
			}
			*target = T(parsed)
			return nil
		},
	}
}

// durationSetting returns a setting that accepts a duration in a range.
func durationSetting(section, key string, target *time.Duration, defaultValue, minimum, maximum time.Duration, doc string) Setting {
	allowed := fmt.Sprintf("%s to %s, with unit", minimum, maximum)
	return Setting{
		Section: section, Key: key, Default: defaultValue.String(), Unit: "duration", Allowed: allowed, Doc: doc,
		set: func(value string) error {
			parsed, err := time.ParseDuration(value)
			if err != nil {
				return errors.New("not a duration such as 300ms or 2s")
			}
			if parsed < minimum || parsed > maximum {
				return errors.New("out of range")
			}
			*target = parsed
			return nil
		},
	}
}

// levelSetting returns a setting that accepts a log level.
func levelSetting(section, key string, target *slog.Level, defaultValue slog.Level, doc string) Setting {
	return Setting{
		Section: section, Key: key, Default: defaultValue.String(), Allowed: "DEBUG, INFO, WARN or ERROR", Doc: doc,
		set: func(value string) error { return target.UnmarshalText([]byte(value)) },
	}
}
