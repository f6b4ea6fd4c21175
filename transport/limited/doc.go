// Package limited puts the budgets of package intake in force on the listeners of a process.
//
// Budgets are those of one process. Listen wraps a listener and the HTTP server that serves it: each
// connection is charged for what is read from it, each request for its head and its body, and a
// connection that has to give way is reset.
//
// A client whose connection is reset before its request was complete knows that the request hasn't
// run. A request that is complete is answered.
package limited
