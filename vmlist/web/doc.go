// Package web reads the VM list by JSON over HTTP.
package web
