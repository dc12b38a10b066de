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
	Entry         ident.EntryID  `toml:"entry"`    // id of this entry VM
	Zone          ident.ZoneID   `toml:"zone"`     // availability zone of this entry VM
	Region        ident.RegionID `toml:"region"`   // region of the zone
	CallerAddress string         `toml:"caller"`   // address that callers use, IP:port
	PeerAddress   string         `toml:"peer"`     // address that other entries use, IP:port
	AdminAddress  string         `toml:"admin"`    // address for health, metrics and status, IP:port
	PlatformURL   string         `toml:"platform"` // URL of the platform, http://IP:port
	PeerKey       string         `toml:"peer_key"` // key shared by all entries, at least 16 characters
	Seeds         []string       `toml:"seeds"`    // peer addresses to try when the platform is out of reach, IP:port
	LogLevel      string         `toml:"log_level"`
	// DrainDelay is how long callers are still accepted after a stop was asked for, so
	// that the load balancer can notice that this entry is not ready. Default 3s.
	DrainDelay Duration `toml:"drain_delay"`
	// KeyWindow is how long an idempotency key is remembered, alike on all entries. Default 10m.
	KeyWindow Duration `toml:"key_window"`
	// KeyMemory is the memory for idempotency keys in bytes; beyond it new keys are refused. Default 16 MiB.
	KeyMemory ident.Bytes `toml:"key_memory"`
	// LogRetention is how long the platform keeps records; checkpoints are written four times in it. Default 24h.
	LogRetention Duration `toml:"log_retention"`
}

// DefaultLogRetention is used where the settings name none.
const DefaultLogRetention = 24 * time.Hour

const (
	minPeerKey        = 16
	defaultDrainDelay = 3 * time.Second
	maxDrainDelay     = time.Minute
	defaultKeyWindow  = 10 * time.Minute
	minKeyWindow      = time.Minute // twice the longest request, so that no key is forgotten while it runs
	defaultKeyMemory  = 16 * ident.MiB
	minLogRetention   = 10 * time.Minute
)

// Duration is a time.Duration that is written like "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Read decodes a TOML file into settings that hold the defaults; an error names
// the file, and the line or the keys that are not known.
func DecodeFile(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
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

// Load reads and checks a settings file; the error lists every fault.
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

// Check returns an error that joins every fault of the settings, or nil.
func (s *Settings) Check() error {
	var faults []error
	need := func(key, value string) {
		if value == "" {
			faults = append(faults, fmt.Errorf("%s is missing", key))
		}
	}
	need("entry", string(s.Entry))
	need("zone", string(s.Zone))
	addresses := []struct{ key, value string }{{"caller", s.CallerAddress}, {"peer", s.PeerAddress}, {"admin", s.AdminAddress}}
	for _, seed := range s.Seeds {
		addresses = append(addresses, struct{ key, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			faults = append(faults, fmt.Errorf("%s = %q is not an IP address and port", a.key, a.value))
		}
	}
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		faults = append(faults, fmt.Errorf("platform = %q is not a URL", s.PlatformURL))
	}
	if len(s.PeerKey) < minPeerKey {
		faults = append(faults, fmt.Errorf("peer_key has fewer than %d characters", minPeerKey))
	}
	if s.DrainDelay.Duration < 0 || s.DrainDelay.Duration > maxDrainDelay {
		faults = append(faults, fmt.Errorf("drain_delay = %v is not between 0s and %v", s.DrainDelay.Duration, maxDrainDelay))
	}
	if s.KeyWindow.Duration < minKeyWindow {
		faults = append(faults, fmt.Errorf("key_window = %v is shorter than %v", s.KeyWindow.Duration, minKeyWindow))
	}
	if s.LogRetention.Duration < minLogRetention {
		faults = append(faults, fmt.Errorf("log_retention = %v is shorter than %v", s.LogRetention.Duration, minLogRetention))
	}
	if s.KeyMemory <= 0 {
		faults = append(faults, fmt.Errorf("key_memory = %d is not positive", s.KeyMemory))
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		faults = append(faults, fmt.Errorf("log_level = %q is none of trace, debug, info, warn, error", s.LogLevel))
	}
	return errors.Join(faults...)
}
