// Package strict reads the answers of HTTP servers no more leniently than their callers may rely on.
//
// Conn is a connection whose end is the server's own and not that of a reset.
//
// Failure guarded against: a server answers an upload at once, with neither a length nor chunks, and
// resets the connection while the upload is being written. The part that was read looks like the whole
// answer.
package strict
