package setting

import (
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"turmericgap/finding"
)

// Limits of settings.
const (
	maxNameBytes      = 64
	maxShutdownMillis = int64(10 * time.Minute / time.Millisecond)
)

// Process holds the settings common to all processes of the cell.
type Process struct {
	// ID is unique in the cell; a process that replaces another on the same VM may reuse its ID.
	ID string `json:"id"`
	// VM is the VM's name in the VM list.
	VM string `json:"vm"`
	// Zone is the availability zone of this process, and Zones lists all zones of the cell.
	Zone  string   `json:"zone"`
	Zones []string `json:"zones"`
	// RPCAddress serves the cell's own processes, OpsAddress the operators.
	RPCAddress string `json:"rpcAddress"`
	OpsAddress string `json:"opsAddress"`
	Store      Store  `json:"store"`
	// ListAddress is the address of the platform's VM list.
	ListAddress string `json:"listAddress"`
	Trace       Trace  `json:"trace"`
	// LogLevel is debug, info, warn or error; info by default.
	LogLevel string `json:"logLevel"`
	// ShutdownMillis limits a graceful shutdown; 30,000 by default.
	ShutdownMillis int64 `json:"shutdownMillis"`
}

// Store selects the plug-in for the platform's key-value service and its endpoint.
type Store struct {
	Kind     string `json:"kind"`
	Endpoint string `json:"endpoint"`
}

// Trace selects the exporter of spans (none, stdout or otlp) and its address.
type Trace struct {
	Exporter string `json:"exporter"`
	Address  string `json:"address"`
}

// DefaultProcess returns the defaults of optional settings.
func DefaultProcess() Process {
	return Process{
		Store: Store{Kind: "etcd"}, Trace: Trace{Exporter: "none"}, LogLevel: "info",
		ShutdownMillis: int64(30 * time.Second / time.Millisecond),
	}
}

// Check adds the findings of the common settings to l.
func (p *Process) Check(l *finding.List) {
	checkName(l, "id", p.ID)
	checkName(l, "vm", p.VM)
	checkName(l, "zone", p.Zone)
	if !slices.Contains(p.Zones, p.Zone) {
		l.Add("zones", "must list every zone of the cell, %q among them", p.Zone)
	}
	sorted := slices.Clone(p.Zones)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(p.Zones) {
		l.Add("zones", "must not list a zone twice")
	}
	CheckAddress(l, "rpcAddress", p.RPCAddress)
	if p.OpsAddress != "" {
		CheckAddress(l, "opsAddress", p.OpsAddress)
	}
	if p.Store.Endpoint == "" {
		l.Add("store.endpoint", "must not be empty")
	}
	if p.ListAddress == "" {
		l.Add("listAddress", "must not be empty")
	}
	var level zapcore.Level
	if err := level.UnmarshalText([]byte(p.LogLevel)); err != nil {
		l.Add("logLevel", "must be debug, info, warn or error")
	}
	CheckRange(l, "shutdownMillis", p.ShutdownMillis, 1, maxShutdownMillis)
}

// Level returns the log level. The settings must have passed Check.
func (p *Process) Level() zapcore.Level {
	var level zapcore.Level
	_ = level.UnmarshalText([]byte(p.LogLevel))
	return level
}

func checkName(l *finding.List, path, value string) {
	switch {
	case value == "":
		l.Add(path, "must not be empty")
	case len(value) > maxNameBytes:
		l.Add(path, "must be at most %d bytes", maxNameBytes)
	}
}
