package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"turmericgap/feature"
)

// Guards against a page that answers with an empty report while the cell has no owner.
func TestPageWithoutOwner(t *testing.T) {
	is := is.New(t)
	var err error
	page := servePage(zap.NewNop(), func(context.Context) (*feature.Report, error) { return feature.NewStatus(nil, nil).Report(), err })
	get := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		page(w, httptest.NewRequest(http.MethodGet, featuresPath, http.NoBody))
		return w
	}
	is.Equal(get().Code, http.StatusOK)
	is.Equal(get().Header().Get("Content-Type"), "application/json")
	err = errors.New("the cell has no owner")
	is.Equal(get().Code, http.StatusServiceUnavailable)
}
