// Package endpoint serves typed JSON calls for the stand-ins of the platform.
package endpoint
