// Package trace sets up spans: one for each hop of a request, exported as the settings say.
package trace
