// Package crash decides what becomes of a task whose workers crash: whether it goes on as before, runs alone on a worker,
// or is given up. A task that crashes each worker that starts it can't be told from its neighbours by one crash, as
// all of them were on the worker. Each crash is therefore weighed by what else it could have been caused by.
package crash
