package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"turmericgap/platform"
)

// reloadOn reads the settings again at each SIGHUP. Without a handler the signal would end the process.
func (p *parts) reloadOn(path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			p.reload(path)
		}
	}()
}

// reload logs what has changed. Addresses, bounds and names hold for the life of a process, since its
// leases and its place in the cell were made with them; the platform starts a process anew to change them.
func (p *parts) reload(path string) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		p.log.Error("entry: the settings cannot be read; those of the start stay in force", zap.Error(err))
		return
	}
	changed := differences(p.settings, next)
	p.log.Info("entry: settings read again", zap.Strings("changedForTheNextStart", changed))
}

// differences names the settings that are not equal.
func differences(a, b *platform.Settings) []string {
	var names []string
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Name)
		}
	}
	return names
}
