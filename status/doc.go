// Package status renders the operators' status page of a cell as plain HTML.
package status
