// Package status renders the operators' page of a cell as plain HTML.
package status
