// Package admission decides which work cannot be done at all. It does no input or output.
package admission
