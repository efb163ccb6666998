// Package budget limits retries to a fraction of recent successes.
//
// When targets fail, unlimited retries multiply the requests and keep the targets overloaded. Each success adds a
// fraction of a retry; failures add none.
package budget
