// Package tuple encodes and decodes msgpack arrays whose number of elements has grown over time.
package tuple
