package main

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

const (
	// accountsPath is the path of the operators' page on client accounts, which ctl accounts reads.
	accountsPath = "/accounts"
	// featuresPath is the path of the operators' page on optional parts, which ctl features reads.
	featuresPath = "/features"
)

// servePage answers with what the owner reports, as JSON.
func servePage[T any](log *zap.Logger, report func(context.Context) (*T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := report(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(out); err != nil {
			log.Info("entry: page was not delivered", zap.String("path", r.URL.Path), zap.Error(err))
		}
	}
}
