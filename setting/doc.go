// Package setting reads a program's settings from a JSON file and reports all errors together.
package setting
