package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Settings are the settings of one toucand process.
type Settings struct {
	Entry         ident.EntryID  `toml:"entry"`    // ID of this entry VM
	Zone          ident.ZoneID   `toml:"zone"`     // availability zone of this entry VM
	Region        ident.RegionID `toml:"region"`   // region of the zone
	CallerAddress string         `toml:"caller"`   // address that callers use, IP:port
	PeerAddress   string         `toml:"peer"`     // address that other entries use, IP:port
	AdminAddress  string         `toml:"admin"`    // address for health, metrics and status, IP:port
	PlatformURL   string         `toml:"platform"` // URL of the platform, http://IP:port
	PeerKey       string         `toml:"peer_key"` // key shared by all entries, at least 16 characters
	Seeds         []string       `toml:"seeds"`    // peer addresses to try if the platform is unreachable, IP:port
	LogLevel      string         `toml:"log_level"`
	// DrainDelay is how long the process still accepts callers after it was told to stop, so
	// that the load balancer can notice that this entry is not ready. Default 3s.
	DrainDelay Duration `toml:"drain_delay"`
	// KeyWindow is how long an idempotency key is remembered; it must be the same on all entries. Default 10m.
	KeyWindow Duration `toml:"key_window"`
	// KeyMemory is the memory limit for idempotency keys in bytes; new keys that exceed it are refused. Default 16 MiB.
	KeyMemory ident.Bytes `toml:"key_memory"`
	// LogRetention is how long the platform keeps records; four checkpoints are written in that time. Default 24h.
	LogRetention Duration `toml:"log_retention"`
	// Memory is the memory of the VM in bytes; 0 if it is not known.
	Memory ident.Bytes `toml:"memory"`
	Limits Limits      `toml:"limits"`
}

// DefaultLogRetention is the log retention if the settings do not set it.
const DefaultLogRetention = 24 * time.Hour

const (
	minPeerKeyLength  = 16 // characters
	defaultDrainDelay = 3 * time.Second
	maxDrainDelay     = time.Minute
	defaultKeyWindow  = 10 * time.Minute
	minKeyWindow      = time.Minute // twice the longest request, so that no key is forgotten while it runs
	defaultKeyMemory  = 16 * ident.MiB
	minLogRetention   = 10 * time.Minute
)

// Duration is a time.Duration that is written in the format of time.ParseDuration, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration, which must have a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// DecodeFile decodes a TOML file into settings, which must already hold the defaults.
// Its error names the file, and the line of a syntax error or the unknown keys.
func DecodeFile(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(settings); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return fmt.Errorf("settings %s: unknown keys:\n%s", path, unknown.String())
		}
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, _ := syntax.Position()
			return fmt.Errorf("settings %s:%d: %w", path, line, err)
		}
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// Load reads and checks a settings file. Its error lists all invalid values.
func Load(path string) (*Settings, error) {
	s := &Settings{
		LogLevel: "info", DrainDelay: Duration{defaultDrainDelay},
		KeyWindow: Duration{defaultKeyWindow}, KeyMemory: defaultKeyMemory,
		LogRetention: Duration{DefaultLogRetention},
	}
	if err := DecodeFile(path, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Check returns an error that lists all invalid values of the settings, or nil.
func (s *Settings) Check() error {
	var errs []error
	require := func(key, value string) {
		if value == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	require("entry", string(s.Entry))
	require("zone", string(s.Zone))
	addresses := []struct{ key, value string }{{"caller", s.CallerAddress}, {"peer", s.PeerAddress}, {"admin", s.AdminAddress}}
	for _, seed := range s.Seeds {
		addresses = append(addresses, struct{ key, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			errs = append(errs, fmt.Errorf("%s = %q is not an IP address and port", a.key, a.value))
		}
	}
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		errs = append(errs, fmt.Errorf("platform = %q is not a URL", s.PlatformURL))
	}
	if len(s.PeerKey) < minPeerKeyLength {
		errs = append(errs, fmt.Errorf("peer_key has fewer than %d characters", minPeerKeyLength))
	}
	if s.DrainDelay.Duration < 0 || s.DrainDelay.Duration > maxDrainDelay {
		errs = append(errs, fmt.Errorf("drain_delay = %v is not between 0s and %v", s.DrainDelay.Duration, maxDrainDelay))
	}
	if s.KeyWindow.Duration < minKeyWindow {
		errs = append(errs, fmt.Errorf("key_window = %v is shorter than %v", s.KeyWindow.Duration, minKeyWindow))
	}
	if s.LogRetention.Duration < minLogRetention {
		errs = append(errs, fmt.Errorf("log_retention = %v is shorter than %v", s.LogRetention.Duration, minLogRetention))
	}
	if s.KeyMemory <= 0 {
		errs = append(errs, fmt.Errorf("key_memory = %d is not positive", s.KeyMemory))
	}
	if s.Memory < 0 {
		errs = append(errs, fmt.Errorf("memory = %d is negative", s.Memory))
	}
	if err := s.Limits.Check(); err != nil {
		errs = append(errs, err)
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		errs = append(errs, fmt.Errorf("log_level = %q is none of trace, debug, info, warn, error", s.LogLevel))
	}
	return errors.Join(errs...)
}
