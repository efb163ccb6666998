// Package setting reads a program's settings from a JSON file and reports all faults together.
package setting
