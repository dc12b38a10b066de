package jobd

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Settings are the settings of one jobs daemon.
type Settings struct {
	Entry            ident.EntryID `toml:"entry"`
	Zone             ident.ZoneID  `toml:"zone"`
	ClientAddress    string        `toml:"client"`    // address that clients use, IP:port
	ReadinessAddress string        `toml:"readiness"` // address of the readiness check, IP:port
	PeerAddress      string        `toml:"peer"`      // address for the other daemons, IP:port
	MetricsAddress   string        `toml:"metrics"`   // address for counters and histograms, IP:port
	Log              LogSettings   `toml:"log"`
	// Machines is the address of the service that moves VMs; empty where there is none.
	MachinesAddress string `toml:"machines"`
	// Advice is the address of the service that says which targets may run a step; empty where there is none.
	AdviceAddress string          `toml:"advice"`
	ControlMode   string          `toml:"control_mode"` // how targets receive orders; only "invoke" is supported
	Memory        ident.Bytes     `toml:"memory"`       // limit of the VM
	CPUShare      float64         `toml:"cpu_share"`    // of each core; 0 if it isn't known
	Cores         float64         `toml:"cores"`
	StopGrace     config.Duration `toml:"grace"` // between SIGTERM and SIGKILL
	LogLevel      string          `toml:"log_level"`
	Bounds        BoundSettings   `toml:"bounds"`
}

// LogSettings describe the platform's log.
type LogSettings struct {
	Address    string          `toml:"address"` // IP:port
	Partitions int             `toml:"parts"`   // partitions of a topic
	MinTTL     config.Duration `toml:"min_ttl"` // shortest ttl of a group member
}

// BoundSettings are the figures of the platform.
type BoundSettings struct {
	StopTimeout  config.Duration `toml:"stop_timeout"`
	RemoteCost   float64         `toml:"remote_cost"`
	Retention    config.Duration `toml:"retention"`
	MachineLease config.Duration `toml:"machine_lease"`
	Upkeep       config.Duration `toml:"upkeep"`
}

// SettingsEnv names the environment variable that holds the path of the settings.
const SettingsEnv = "TOUCANHATCH_SETTINGS"

const (
	defaultGrace     = 6 * time.Second
	defaultRetention = 2 * time.Minute
	defaultParts     = 12
	modeInvoke       = "invoke"
)

// LoadSettings reads and checks a settings file; the error lists every fault.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{
		LogLevel: "info", ControlMode: modeInvoke, StopGrace: config.Duration{Duration: defaultGrace},
		Bounds: BoundSettings{Retention: config.Duration{Duration: defaultRetention}, RemoteCost: 1},
		Log:    LogSettings{Partitions: defaultParts},
	}
	if err := config.DecodeFile(path, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if s.Entry == "" {
		fault("entry is missing")
	}
	for _, a := range []struct {
		key, value string
		optional   bool
	}{
		{"client", s.ClientAddress, false},
		{"readiness", s.ReadinessAddress, false},
		{"peer", s.PeerAddress, false},
		{"metrics", s.MetricsAddress, true},
		{"log.address", s.Log.Address, false},
		{"machines", s.MachinesAddress, true},
		{"advice", s.AdviceAddress, true},
	} {
		if a.value == "" && a.optional {
			continue
		}
		if host, _, err := net.SplitHostPort(a.value); err != nil || net.ParseIP(host) == nil {
			fault("%s = %q is not an IP address and port", a.key, a.value)
		}
	}
	if s.ControlMode != modeInvoke {
		fault("control_mode = %q is not supported, %q is", s.ControlMode, modeInvoke)
	}
	if s.Log.Partitions < 1 {
		fault("log.parts = %d is not positive", s.Log.Partitions)
	}
	if s.CPUShare < 0 || s.Cores < 0 {
		fault("cpu_share = %v, cores = %v: neither may be negative", s.CPUShare, s.Cores)
	}
	if s.Memory < 0 {
		fault("memory = %d is negative", s.Memory)
	}
	if s.StopGrace.Duration <= 0 {
		fault("grace = %v is not positive", s.StopGrace)
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		fault("log_level = %q is none of trace, debug, info, warn, error", s.LogLevel)
	}
	return errors.Join(faults...)
}

// CPU returns the processor of the VM; 0 if it isn't known.
func (s *Settings) CPU() work.Millicores { return work.Millicores(1000 * s.CPUShare * s.Cores) }

func (s *Settings) bounds() jobs.Bounds {
	b := &s.Bounds
	return jobs.Bounds{
		StopTimeout: b.StopTimeout.Duration, RemoteCost: b.RemoteCost, Retention: b.Retention.Duration,
	}
}
