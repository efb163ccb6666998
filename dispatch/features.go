package dispatch

import (
	"go.uber.org/zap"

	"turmericgap/feature"
)

// Features reports on the optional parts and the learned speeds of workers.
func (d *Dispatcher) Features() (*feature.Report, error) {
	t, err := d.currentTerm()
	if err != nil {
		return nil, err
	}
	return t.features.Report(), nil
}

// logFeature logs that an optional part has come into effect or is no longer in effect.
func (t *term) logFeature(s feature.State) {
	t.log.Info("dispatch: feature changed", zap.String("feature", string(s.Name)), zap.Bool("effective", s.Effective),
		zap.String("mode", string(s.Mode)), zap.String("why", string(s.Reason)))
}
