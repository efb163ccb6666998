// Command platform plays one case of the review: it starts the entry program of the deploy file as several processes on
// loopback addresses, beside small stand-ins of the platform's store, the runners and the clients, and checks one rule by
// what clients and runners have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
