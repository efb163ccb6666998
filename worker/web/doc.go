// Package web calls workers by JSON over HTTP.
package web
