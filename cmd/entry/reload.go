package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"turmericgap/platform"
)

// reloadOnSIGHUP reloads the settings on each SIGHUP. Without a handler the signal would end the process.
func (p *program) reloadOnSIGHUP(path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			p.reload(path)
		}
	}()
}

// reload logs which settings have changed but applies none of them. Leases and membership were set up with the current
// addresses, bounds and names, so a change takes effect only when the platform restarts the process.
func (p *program) reload(path string) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		p.log.Error("entry: settings cannot be read; keeping those from process start", zap.Error(err))
		return
	}
	changed := changedSettings(p.settings, next)
	p.log.Info("entry: settings reloaded; changes apply after a restart", zap.Strings("changedForTheNextStart", changed))
}

// changedSettings returns the names of the settings that differ.
func changedSettings(a, b *platform.Settings) []string {
	var names []string
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Name)
		}
	}
	return names
}
