package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is the level of all loggers of the process; it can be changed at run time.
var Level = zap.NewAtomicLevelAt(zapcore.InfoLevel)

// New returns the root logger of a program, writing JSON lines to standard error.
func New(program string) *zap.Logger {
	c := zap.NewProductionConfig()
	c.Level = Level
	c.Sampling = nil
	c.DisableCaller = true
	c.DisableStacktrace = true
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	l, err := c.Build()
	if err != nil {
		return zap.NewNop()
	}
	return l.Named(program)
}

// Part returns the logger of one part of the system, named with its prefix.
func Part(l *zap.Logger, prefix string) *zap.Logger { return l.Named(prefix) }

// Fields returns log fields from alternating names and values. Packages whose decisions do no I/O return them like this.
func Fields(pairs []any) []zap.Field {
	fields := make([]zap.Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		fields = append(fields, zap.Any(name, pairs[i+1]))
	}
	return fields
}
