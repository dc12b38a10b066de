package jobd

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Settings are the settings of one jobs daemon.
type Settings struct {
	Entry            ident.EntryID `toml:"entry"`
	Zone             ident.ZoneID  `toml:"zone"`
	ClientAddress    string        `toml:"client"`    // address for clients, IP:port
	ReadinessAddress string        `toml:"readiness"` // address of the readiness check, IP:port
	PeerAddress      string        `toml:"peer"`      // address for the other daemons, IP:port
	MetricsAddress   string        `toml:"metrics"`   // address for counters and histograms, IP:port
	Log              LogSettings   `toml:"log"`
	// VMServiceAddress is the address of the platform's VM service, which moves VMs and takes them down; empty if there is none.
	VMServiceAddress string `toml:"machines"`
	// AdviceAddress is the address of the service that says which targets may run a step; empty if there is none.
	AdviceAddress string            `toml:"advice"`
	ControlMode   string            `toml:"control_mode"` // how targets receive commands; only "invoke" is supported
	Memory        ident.Bytes       `toml:"memory"`       // memory limit of the VM; 0 sets no limit
	CPUShare      float64           `toml:"cpu_share"`    // usable part of each core; 0 if it is not known
	Cores         float64           `toml:"cores"`
	StopGrace     config.Duration   `toml:"grace"` // time between SIGTERM and SIGKILL
	LogLevel      string            `toml:"log_level"`
	Bounds        BoundSettings     `toml:"bounds"`
	Placement     PlacementSettings `toml:"placement"`
	Limits        LimitSettings     `toml:"limits"`
}

// LimitSettings are limits that have defaults where they are 0; see docs/settings.md.
type LimitSettings struct {
	config.Limits
	Partition      ident.Bytes `toml:"partition"`       // memory that the jobs of one partition may take
	SmallestMemory ident.Bytes `toml:"smallest_memory"` // memory of the smallest VM that may own a partition
	TargetTasks    int         `toml:"target_tasks"`    // tasks that one target runs at the same time
	Cancellations  ident.Bytes `toml:"cancellations"`   // memory that those of unknown jobs of one partition may take
}

// LogSettings describe the platform's log.
type LogSettings struct {
	Address    string          `toml:"address"`    // IP:port
	Partitions int             `toml:"parts"`      // partitions of a topic
	MinTTL     config.Duration `toml:"min_ttl"`    // shortest ttl of a group member
	MaxRecord  ident.Bytes     `toml:"max_record"` // limit on the size of a record
	MaxAppend  ident.Bytes     `toml:"max_append"` // limit on the size of an append
}

// BoundSettings are limits and costs that the platform sets.
type BoundSettings struct {
	StopTimeout     config.Duration `toml:"stop_timeout"`  // a stopped run ends within this time
	RemoteCost      float64         `toml:"remote_cost"`   // factor by which a task takes longer away from its data
	Retention       config.Duration `toml:"retention"`     // how long a finished job remains visible
	VMLease         config.Duration `toml:"machine_lease"` // how long a VM is left alone after an intent of a previous fleet controller
	MaintenanceTime config.Duration `toml:"upkeep"`        // how long the maintenance of one VM takes
	ConfigApply     config.Duration `toml:"config_apply"`  // a confirmed configuration is in force within this time; 0 is 2 s
	Drain           config.Duration `toml:"drain"`         // a target that announces its leave gets no new task after this time; 0 is 2 s
}

// PlacementSettings choose how targets are chosen for tasks.
type PlacementSettings struct {
	LookAhead bool `toml:"look_ahead"` // targets are reserved for large tasks that wait
}

// SettingsEnv is the environment variable with the path of the settings file.
const SettingsEnv = "TOUCANHATCH_SETTINGS"

// The environment variables that replace settings of the log, in bytes.
const (
	MaxRecordEnv = "TOUCANHATCH_MAX_RECORD"
	MaxAppendEnv = "TOUCANHATCH_MAX_APPEND"
)

const (
	defaultStopGrace  = 6 * time.Second
	defaultRetention  = 2 * time.Minute
	defaultPartitions = 12
	defaultMaxRecord  = 256 << 10 // bytes
	defaultMaxAppend  = 2 << 20   // bytes
	defaultApplyTime  = 2 * time.Second
	controlModeInvoke = "invoke"
	// defaultTargetTasks is several times as many as fit on a target of 64 cores whose tasks take half a core. A target lists
	// all its tasks in each report.
	defaultTargetTasks = 512
	// maxFraming is by how much a record in an append may exceed the size by which records are limited, in bytes.
	maxFraming = 16
)

// LoadSettings reads and validates a settings file; the error lists everything that is invalid.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{
		LogLevel: "info", ControlMode: controlModeInvoke, StopGrace: config.Duration{Duration: defaultStopGrace},
		Bounds: BoundSettings{Retention: config.Duration{Duration: defaultRetention}, RemoteCost: 1},
		Log:    LogSettings{Partitions: defaultPartitions, MaxRecord: defaultMaxRecord, MaxAppend: defaultMaxAppend},
	}
	if err := config.DecodeFile(path, s); err != nil {
		return nil, err
	}
	if err := errors.Join(readBytesEnv(MaxRecordEnv, &s.Log.MaxRecord), readBytesEnv(MaxAppendEnv, &s.Log.MaxAppend), s.validate()); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// readBytesEnv sets a number of bytes from an environment variable that is set and not empty.
func readBytesEnv(name string, to *ident.Bytes) error {
	text := os.Getenv(name)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s = %q is not a number of bytes", name, text)
	}
	*to = ident.Bytes(n)
	return nil
}

func (s *Settings) validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.Entry == "" {
		addError("entry is missing")
	}
	for _, address := range []struct {
		key, value string
		optional   bool
	}{
		{"client", s.ClientAddress, false},
		{"readiness", s.ReadinessAddress, false},
		{"peer", s.PeerAddress, false},
		{"metrics", s.MetricsAddress, true},
		{"log.address", s.Log.Address, false},
		{"machines", s.VMServiceAddress, true},
		{"advice", s.AdviceAddress, true},
	} {
		if address.value == "" && address.optional {
			continue
		}
		if host, _, err := net.SplitHostPort(address.value); err != nil || net.ParseIP(host) == nil {
			addError("%s = %q is not an IP address and port", address.key, address.value)
		}
	}
	if s.ControlMode != controlModeInvoke {
		addError("control_mode = %q is not supported; use %q", s.ControlMode, controlModeInvoke)
	}
	if s.Log.Partitions < 1 {
		addError("log.parts = %d is not positive", s.Log.Partitions)
	}
	if s.Log.MaxRecord < jobs.MinRecord {
		addError("log.max_record = %d is less than %d, which jobs need", s.Log.MaxRecord, jobs.MinRecord)
	}
	if s.Log.MaxAppend < s.Log.MaxRecord+maxFraming {
		addError("log.max_append = %d is not more than log.max_record = %d by %d or more", s.Log.MaxAppend, s.Log.MaxRecord, maxFraming)
	}
	if s.CPUShare < 0 || s.Cores < 0 {
		addError("cpu_share = %v, cores = %v: neither may be negative", s.CPUShare, s.Cores)
	}
	if s.Memory < 0 {
		addError("memory = %d is negative", s.Memory)
	}
	if s.StopGrace.Duration <= 0 {
		addError("grace = %v is not positive", s.StopGrace)
	}
	if s.Bounds.ConfigApply.Duration < 0 || s.Bounds.Drain.Duration < 0 {
		addError("bounds.config_apply = %v, bounds.drain = %v: neither may be negative", s.Bounds.ConfigApply, s.Bounds.Drain)
	}
	if err := s.Limits.Check(); err != nil {
		errs = append(errs, err)
	}
	if s.Limits.Partition < 0 || s.Limits.SmallestMemory < 0 || s.Limits.TargetTasks < 0 || s.Limits.Cancellations < 0 {
		addError("limits.partition = %d, smallest_memory = %d, target_tasks = %d, cancellations = %d: none may be negative", s.Limits.Partition, s.Limits.SmallestMemory, s.Limits.TargetTasks, s.Limits.Cancellations)
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		addError("log_level = %q is none of trace, debug, info, warn, error", s.LogLevel)
	}
	return errors.Join(errs...)
}

// partitionSpace returns what the jobs of one partition may take in memory.
func (s *Settings) partitionSpace() ident.Bytes {
	return cmp.Or(s.Limits.Partition, space.PartitionLimit(s.Limits.SmallestMemory, s.Memory))
}

// configApply returns the time within which a confirmed configuration is in force.
func (b *BoundSettings) configApply() time.Duration {
	return cmp.Or(b.ConfigApply.Duration, defaultApplyTime)
}

// drain returns the time after which a leaving target gets no new task.
func (b *BoundSettings) drain() time.Duration { return cmp.Or(b.Drain.Duration, defaultApplyTime) }

// CPU returns the processor capacity of the VM; 0 if it is not known.
func (s *Settings) CPU() work.Millicores { return work.Millicores(1000 * s.CPUShare * s.Cores) }

func (s *Settings) bounds() jobs.Bounds {
	b := &s.Bounds
	return jobs.Bounds{
		StopTimeout: b.StopTimeout.Duration, RemoteCost: b.RemoteCost, Retention: b.Retention.Duration, MaxRecord: s.Log.MaxRecord,
		LookAhead: s.Placement.LookAhead, TargetTasks: cmp.Or(s.Limits.TargetTasks, defaultTargetTasks),
	}
}
