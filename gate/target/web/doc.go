// Package web calls targets by JSON over HTTP.
package web
