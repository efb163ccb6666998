package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"turmericgap/finding"
)

// maxPageBytes limits the answer of an entry VM: 10,000 accounts take about 3 MB.
const maxPageBytes = 16 << 20

// fetchPage reads an operators' page of the entry VM with the given operators' address.
func fetchPage[T any](opts *commonOptions, ops, path string) (*T, error) {
	if host, _, err := net.SplitHostPort(ops); err != nil || net.ParseIP(host) == nil {
		return nil, finding.List{{Path: "--ops", Reason: fmt.Sprintf("%q is not an IP number with a port", ops)}}
	}
	page, err := readPage[T](opts, ops, path)
	if err != nil {
		return nil, &exitError{exitFailed, err}
	}
	return page, nil
}

func readPage[T any](opts *commonOptions, ops, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(opts.Seconds)*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry VM %s answered with status %d: %s", ops, resp.StatusCode, stripControls(string(raw)))
	}
	var page T
	if err := json.Unmarshal(raw, &page); err != nil {
		return nil, fmt.Errorf("answer of entry VM %s: %w", ops, err)
	}
	return &page, nil
}
