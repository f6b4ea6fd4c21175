// Package strict reads the answers of HTTP servers no more leniently than their callers may rely on.
// Every answer that a process of a fleet reads passes CheckHead and comes over a Conn: those that package
// exchange reads, and those that come over a Transport.
//
// Failures guarded against:
//
//   - A server answers an upload at once, with neither a length nor chunks, and resets the connection
//     while the upload is being written. The part that was read looks like the whole answer. A Conn
//     tells the end that the server made from that of a reset.
//   - A server in trouble sends a head that isn't HTTP but that net/http accepts: with status 000, or
//     with a blank in the name of a field. The caller would get it as an answer, or with the framing of
//     its body as a part of the body. Control bytes in a head are refused by net/http.
package strict
